/** Port to a key-value service that provides compare-and-swap, leases and watches. */
@NullMarked
package org.oleanderspring.coordination.store;

import org.jspecify.annotations.NullMarked;
