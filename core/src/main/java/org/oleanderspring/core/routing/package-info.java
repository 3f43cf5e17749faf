/** Routing and admission: which endpoint serves a call, and which call waits or is refused. */
@NullMarked
package org.oleanderspring.core.routing;

import org.jspecify.annotations.NullMarked;
