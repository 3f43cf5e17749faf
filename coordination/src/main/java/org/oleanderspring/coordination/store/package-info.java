/** The port to a key-value service with compare-and-swap, leases and watches. */
@NullMarked
package org.oleanderspring.coordination.store;

import org.jspecify.annotations.NullMarked;
