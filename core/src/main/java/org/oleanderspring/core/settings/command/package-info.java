/** Validation of new settings. */
@NullMarked
package org.oleanderspring.core.settings.command;

import org.jspecify.annotations.NullMarked;
