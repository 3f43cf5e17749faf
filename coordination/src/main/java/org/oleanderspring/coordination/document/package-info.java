/** Documents that never go back to an older version. */
@NullMarked
package org.oleanderspring.coordination.document;

import org.jspecify.annotations.NullMarked;
