/** Accepts requests from the clients of the hosted platform. */
@NullMarked
package org.oleanderspring.daemon.gateway.front.command;

import org.jspecify.annotations.NullMarked;
