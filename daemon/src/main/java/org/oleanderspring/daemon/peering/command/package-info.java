/** Sends messages to other daemons. */
@NullMarked
package org.oleanderspring.daemon.peering.command;

import org.jspecify.annotations.NullMarked;
