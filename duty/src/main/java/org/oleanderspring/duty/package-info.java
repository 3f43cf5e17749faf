/**
 * Single-threaded event handlers, called duties, that communicate through bounded ring buffers.
 *
 * <p>A duty reads events from exactly one ring and owns all state that those events change. Threads
 * share no other state, so the state needs no locks.
 */
@NullMarked
package org.oleanderspring.duty;

import org.jspecify.annotations.NullMarked;
