/**
 * Coordination parts that other programs can embed: key-value port, leases, documents that never go
 * back, membership, and records of calls that run at most once.
 *
 * <p>Nothing here reads a clock, draws a random number or opens a connection. Time and randomness
 * are arguments, so a session can be replayed exactly.
 */
@NullMarked
package org.oleanderspring.coordination;

import org.jspecify.annotations.NullMarked;
