/** Read-only views that the gateway's routing duty uses. */
@NullMarked
package org.oleanderspring.daemon.gateway.routing.query;

import org.jspecify.annotations.NullMarked;
