/**
 * Stand-in for a model engine: loaded checkpoints, attempts, ledger of attempts and orders, and
 * faults.
 */
@NullMarked
package org.oleanderspring.standin.engine;

import org.jspecify.annotations.NullMarked;
