/** The process: its settings, exit codes, clock and log format. */
@NullMarked
package org.oleanderspring.daemon.process;

import org.jspecify.annotations.NullMarked;
