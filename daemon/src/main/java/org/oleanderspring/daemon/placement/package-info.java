/** The placement duty: carries out the decisions of {@code core.placement}. */
@NullMarked
package org.oleanderspring.daemon.placement;

import org.jspecify.annotations.NullMarked;
