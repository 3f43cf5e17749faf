/** Placement of models on runners: the plan of each cell and the orders that runners receive. */
@NullMarked
package org.oleanderspring.core.placement;

import org.jspecify.annotations.NullMarked;
