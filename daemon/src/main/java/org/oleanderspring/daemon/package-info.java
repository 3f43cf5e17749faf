/**
 * The daemon program: HTTP front ends, duty threads and the command line.
 *
 * <p>A duty is a thread that handles the events of its own bounded ring one after another. Most
 * duties pass them to a decider, which performs no I/O, and execute the decisions that it returns.
 * Duties share no state; they offer events to the rings of other duties.
 */
@NullMarked
package org.oleanderspring.daemon;

import org.jspecify.annotations.NullMarked;
