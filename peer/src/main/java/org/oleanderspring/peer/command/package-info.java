/** Sends messages to other daemons and receives messages from them. */
@NullMarked
package org.oleanderspring.peer.command;

import org.jspecify.annotations.NullMarked;
