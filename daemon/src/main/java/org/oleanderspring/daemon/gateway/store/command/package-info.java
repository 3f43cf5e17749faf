/** The duty that follows the key-value service, and the reports of other duties' calls to it. */
@NullMarked
package org.oleanderspring.daemon.gateway.store.command;

import org.jspecify.annotations.NullMarked;
