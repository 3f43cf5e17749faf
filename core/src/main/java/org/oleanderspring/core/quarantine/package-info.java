/**
 * Keeps requests away from runners if a part of their prompts crashes each runner that answers it.
 */
@NullMarked
package org.oleanderspring.core.quarantine;

import org.jspecify.annotations.NullMarked;
