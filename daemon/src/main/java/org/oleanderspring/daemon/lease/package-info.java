/** The lease duty: keeps the leases of cells. */
@NullMarked
package org.oleanderspring.daemon.lease;

import org.jspecify.annotations.NullMarked;
