/** The dispatch state machine, with its input events and resulting decisions. */
@NullMarked
package org.oleanderspring.coordination.dispatch.command;

import org.jspecify.annotations.NullMarked;
