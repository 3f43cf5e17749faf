/** Subcommands that only read from a daemon. */
@NullMarked
package org.oleanderspring.daemon.cli.query;

import org.jspecify.annotations.NullMarked;
