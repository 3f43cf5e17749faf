/** The issue of permits. */
@NullMarked
package org.oleanderspring.core.permit.command;

import org.jspecify.annotations.NullMarked;
