/** Handlers for the directory of addresses and for readiness. */
@NullMarked
package org.oleanderspring.daemon.gateway.front.query;

import org.jspecify.annotations.NullMarked;
