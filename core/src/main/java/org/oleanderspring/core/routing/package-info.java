/** Routing and admission control: assigns calls to endpoints, queues them or refuses them. */
@NullMarked
package org.oleanderspring.core.routing;

import org.jspecify.annotations.NullMarked;
