/** Read-only traffic counters of the peer transport, for metrics. */
@NullMarked
package org.oleanderspring.peer.query;

import org.jspecify.annotations.NullMarked;
