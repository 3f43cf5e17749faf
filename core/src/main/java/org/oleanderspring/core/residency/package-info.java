/** Which models and adapters the runners of a hosted fleet hold. */
@NullMarked
package org.oleanderspring.core.residency;

import org.jspecify.annotations.NullMarked;
