/** Settings written by operators: defaults, and exceptions for models, each with a reason. */
@NullMarked
package org.oleanderspring.core.settings;

import org.jspecify.annotations.NullMarked;
