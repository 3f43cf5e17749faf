/**
 * The placement duty: executes the decisions of {@code core.placement}, such as writing plans and
 * sending orders to runners.
 */
@NullMarked
package org.oleanderspring.daemon.placement;

import org.jspecify.annotations.NullMarked;
