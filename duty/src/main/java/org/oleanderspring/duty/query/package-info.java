/** Read-only views of ring buffers, for metrics. */
@NullMarked
package org.oleanderspring.duty.query;

import org.jspecify.annotations.NullMarked;
