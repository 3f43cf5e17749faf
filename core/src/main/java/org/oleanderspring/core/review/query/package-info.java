/** Checks a configuration, and compares it with another one. */
@NullMarked
package org.oleanderspring.core.review.query;

import org.jspecify.annotations.NullMarked;
