/** Small stand-ins of the platform and of endpoints, for the demo and for tests. */
@NullMarked
package org.oleanderspring.standin;

import org.jspecify.annotations.NullMarked;
