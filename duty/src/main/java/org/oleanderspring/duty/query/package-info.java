/** Read-only views of rings, for metrics. */
@NullMarked
package org.oleanderspring.duty.query;

import org.jspecify.annotations.NullMarked;
