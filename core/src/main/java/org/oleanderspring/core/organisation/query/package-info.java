/** Finds the organisation of a caller. */
@NullMarked
package org.oleanderspring.core.organisation.query;

import org.jspecify.annotations.NullMarked;
