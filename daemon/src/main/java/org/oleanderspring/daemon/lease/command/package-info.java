/** The lease duty, its input events and its listener. */
@NullMarked
package org.oleanderspring.daemon.lease.command;

import org.jspecify.annotations.NullMarked;
