/** Starts, connects, reconfigures and stops the duties, listeners and clients of the gateway. */
@NullMarked
package org.oleanderspring.daemon.gateway.process.command;

import org.jspecify.annotations.NullMarked;
