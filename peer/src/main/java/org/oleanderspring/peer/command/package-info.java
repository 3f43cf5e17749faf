/** Sends messages to other daemons and receives theirs. */
@NullMarked
package org.oleanderspring.peer.command;

import org.jspecify.annotations.NullMarked;
