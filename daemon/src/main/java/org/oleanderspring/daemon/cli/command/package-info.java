/** Subcommands that change something. */
@NullMarked
package org.oleanderspring.daemon.cli.command;

import org.jspecify.annotations.NullMarked;
