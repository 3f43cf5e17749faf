/** Placement of models and adapters on the runners of a hosted fleet. */
@NullMarked
package org.oleanderspring.core.residency;

import org.jspecify.annotations.NullMarked;
