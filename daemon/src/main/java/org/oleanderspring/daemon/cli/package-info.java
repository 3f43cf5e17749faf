/** The subcommands. */
@NullMarked
package org.oleanderspring.daemon.cli;

import org.jspecify.annotations.NullMarked;
