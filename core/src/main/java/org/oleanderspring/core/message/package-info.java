/** Numbered messages for callers and operators. */
@NullMarked
package org.oleanderspring.core.message;

import org.jspecify.annotations.NullMarked;
