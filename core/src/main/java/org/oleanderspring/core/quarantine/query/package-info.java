/** Queries of the quarantine. */
@NullMarked
package org.oleanderspring.core.quarantine.query;

import org.jspecify.annotations.NullMarked;
