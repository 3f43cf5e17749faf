/** Starts and stops the daemon, and writes its log. */
@NullMarked
package org.oleanderspring.daemon.process.command;

import org.jspecify.annotations.NullMarked;
