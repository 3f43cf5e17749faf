/** Subcommands that run a daemon or change its settings. */
@NullMarked
package org.oleanderspring.daemon.cli.command;

import org.jspecify.annotations.NullMarked;
