/** Read-only views of the placement in a hosted fleet. */
@NullMarked
package org.oleanderspring.core.residency.query;

import org.jspecify.annotations.NullMarked;
