/** Interfaces to the platform and to endpoints (ports). Each has an adapter in another module. */
@NullMarked
package org.oleanderspring.core.port;

import org.jspecify.annotations.NullMarked;
