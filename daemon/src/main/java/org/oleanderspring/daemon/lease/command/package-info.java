/** Events of the lease duty and what it informs. */
@NullMarked
package org.oleanderspring.daemon.lease.command;

import org.jspecify.annotations.NullMarked;
