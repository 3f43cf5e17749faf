/**
 * Stand-in for a model engine: loaded checkpoints, attempts, record of executed work, and faults.
 */
@NullMarked
package org.oleanderspring.standin.engine;

import org.jspecify.annotations.NullMarked;
