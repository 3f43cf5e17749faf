/** The gateway's placement duty, which sends orders to the runners of the hosted platform. */
@NullMarked
package org.oleanderspring.daemon.gateway.placement.command;

import org.jspecify.annotations.NullMarked;
