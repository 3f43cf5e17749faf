/** Requests that change the state of the engine: completions, cancellations, orders and faults. */
@NullMarked
package org.oleanderspring.standin.engine.command;

import org.jspecify.annotations.NullMarked;
