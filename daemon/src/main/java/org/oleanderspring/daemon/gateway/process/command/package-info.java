/** Starts and stops the daemon on a hosted platform. */
@NullMarked
package org.oleanderspring.daemon.gateway.process.command;

import org.jspecify.annotations.NullMarked;
