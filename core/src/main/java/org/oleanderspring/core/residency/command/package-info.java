/** Decides which models and adapters runners load and unload. */
@NullMarked
package org.oleanderspring.core.residency.command;

import org.jspecify.annotations.NullMarked;
