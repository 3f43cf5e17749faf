/** The gateway's routing duty, which routes requests to the runners of the hosted platform. */
@NullMarked
package org.oleanderspring.daemon.gateway.routing.command;

import org.jspecify.annotations.NullMarked;
