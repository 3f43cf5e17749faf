/** The placement duty, its input events and its listener. */
@NullMarked
package org.oleanderspring.daemon.placement.command;

import org.jspecify.annotations.NullMarked;
