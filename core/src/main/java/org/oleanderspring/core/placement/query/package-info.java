/** Read-only views of plans. */
@NullMarked
package org.oleanderspring.core.placement.query;

import org.jspecify.annotations.NullMarked;
