/** Parts that the subcommands share: flags, the HTTP client of a daemon, and settings files. */
@NullMarked
package org.oleanderspring.daemon.cli;

import org.jspecify.annotations.NullMarked;
