/**
 * Process-level parts: settings, identity, exit codes, clocks, keys of the key-value service and
 * the log format.
 */
@NullMarked
package org.oleanderspring.daemon.process;

import org.jspecify.annotations.NullMarked;
