/** Stand-in of a model engine: loaded checkpoints, attempts, ledger and faults. */
@NullMarked
package org.oleanderspring.standin.engine;

import org.jspecify.annotations.NullMarked;
