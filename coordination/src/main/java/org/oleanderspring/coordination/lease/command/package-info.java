/** The lease state machine, with its input events and resulting decisions. */
@NullMarked
package org.oleanderspring.coordination.lease.command;

import org.jspecify.annotations.NullMarked;
