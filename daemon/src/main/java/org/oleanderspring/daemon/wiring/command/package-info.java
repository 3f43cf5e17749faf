/** Passes events on from one duty to the rings of others. */
@NullMarked
package org.oleanderspring.daemon.wiring.command;

import org.jspecify.annotations.NullMarked;
