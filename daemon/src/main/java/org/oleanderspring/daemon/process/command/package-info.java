/** Starts and stops the daemon. */
@NullMarked
package org.oleanderspring.daemon.process.command;

import org.jspecify.annotations.NullMarked;
