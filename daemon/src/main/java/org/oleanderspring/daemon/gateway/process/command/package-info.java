/** Starts, connects, reconfigures and stops the parts of the gateway. */
@NullMarked
package org.oleanderspring.daemon.gateway.process.command;

import org.jspecify.annotations.NullMarked;
