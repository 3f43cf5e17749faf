/** The membership duty, its input events and its listener. */
@NullMarked
package org.oleanderspring.daemon.membership.command;

import org.jspecify.annotations.NullMarked;
