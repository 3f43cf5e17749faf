/** Operations that read the key-value service. */
@NullMarked
package org.oleanderspring.coordination.store.query;

import org.jspecify.annotations.NullMarked;
