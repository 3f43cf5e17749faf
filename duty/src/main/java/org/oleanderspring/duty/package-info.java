/**
 * Threads that each own one duty, joined by bounded rings.
 *
 * <p>A duty takes events from exactly one ring and owns all state that those events change. Threads
 * share nothing else, so the state needs no locks.
 */
@NullMarked
package org.oleanderspring.duty;

import org.jspecify.annotations.NullMarked;
