/** Decisions on the calls that follow key prefixes. */
@NullMarked
package org.oleanderspring.coordination.watch.command;

import org.jspecify.annotations.NullMarked;
