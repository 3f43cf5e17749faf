/** Read-only views of placement plans. */
@NullMarked
package org.oleanderspring.core.placement.query;

import org.jspecify.annotations.NullMarked;
