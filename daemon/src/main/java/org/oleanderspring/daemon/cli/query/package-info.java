/** Subcommands that only read. */
@NullMarked
package org.oleanderspring.daemon.cli.query;

import org.jspecify.annotations.NullMarked;
