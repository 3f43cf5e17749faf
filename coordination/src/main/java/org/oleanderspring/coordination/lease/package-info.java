/** Leases: ownership for a limited time, with a fencing token that increases with each owner. */
@NullMarked
package org.oleanderspring.coordination.lease;

import org.jspecify.annotations.NullMarked;
