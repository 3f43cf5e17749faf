/** Events that change leases, and the decisions that follow from them. */
@NullMarked
package org.oleanderspring.coordination.lease.command;

import org.jspecify.annotations.NullMarked;
