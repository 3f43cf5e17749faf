/** The routing duty, which executes the decisions of {@code core.routing}. */
@NullMarked
package org.oleanderspring.daemon.routing;

import org.jspecify.annotations.NullMarked;
