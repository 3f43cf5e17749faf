/**
 * Embeddable coordination components: a key-value store port, leases, replicated documents whose
 * version never decreases, group membership, and dispatch records that let a call run at most once.
 *
 * <p>No class in this module reads a clock, creates a random number generator or opens a
 * connection. Time and randomness are passed in as arguments, so a recorded session can be replayed
 * exactly.
 */
@NullMarked
package org.oleanderspring.coordination;

import org.jspecify.annotations.NullMarked;
