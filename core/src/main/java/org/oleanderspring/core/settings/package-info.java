/** The operators' settings: one set of defaults and exceptions, each with a written reason. */
@NullMarked
package org.oleanderspring.core.settings;

import org.jspecify.annotations.NullMarked;
