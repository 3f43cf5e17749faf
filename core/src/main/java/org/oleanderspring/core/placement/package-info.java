/** Placement: which model is loaded on which runner, and the orders that bring it about. */
@NullMarked
package org.oleanderspring.core.placement;

import org.jspecify.annotations.NullMarked;
