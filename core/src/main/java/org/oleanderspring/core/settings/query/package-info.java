/** Comparison of settings. */
@NullMarked
package org.oleanderspring.core.settings.query;

import org.jspecify.annotations.NullMarked;
