/** The duty that issues permits for requests to runners that limit their rate. */
@NullMarked
package org.oleanderspring.daemon.gateway.permit.command;

import org.jspecify.annotations.NullMarked;
