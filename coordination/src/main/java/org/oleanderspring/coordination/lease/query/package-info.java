/** Read-only views of leases. */
@NullMarked
package org.oleanderspring.coordination.lease.query;

import org.jspecify.annotations.NullMarked;
