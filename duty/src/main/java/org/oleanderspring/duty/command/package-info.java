/** Operations that change a ring or a duty: offering events, starting and stopping threads. */
@NullMarked
package org.oleanderspring.duty.command;

import org.jspecify.annotations.NullMarked;
