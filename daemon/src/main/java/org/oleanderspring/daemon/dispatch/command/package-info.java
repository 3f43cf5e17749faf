/** The dispatch duty, its input events and its listener. */
@NullMarked
package org.oleanderspring.daemon.dispatch.command;

import org.jspecify.annotations.NullMarked;
