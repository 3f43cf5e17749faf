/** The lease duty: acquires, renews and hands over the leases of cells. */
@NullMarked
package org.oleanderspring.daemon.lease;

import org.jspecify.annotations.NullMarked;
