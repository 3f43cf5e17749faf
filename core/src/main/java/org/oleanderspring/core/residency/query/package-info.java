/** Reads what the placement of a hosted fleet has decided. */
@NullMarked
package org.oleanderspring.core.residency.query;

import org.jspecify.annotations.NullMarked;
