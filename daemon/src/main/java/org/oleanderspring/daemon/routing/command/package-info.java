/** The routing duty, its events and its outgoing interfaces. */
@NullMarked
package org.oleanderspring.daemon.routing.command;

import org.jspecify.annotations.NullMarked;
