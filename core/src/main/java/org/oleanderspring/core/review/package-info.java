/** Findings about a configuration before it is in force. */
@NullMarked
package org.oleanderspring.core.review;

import org.jspecify.annotations.NullMarked;
