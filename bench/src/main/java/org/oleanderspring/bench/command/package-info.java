/** Subcommands and the simulations that they run. */
@NullMarked
package org.oleanderspring.bench.command;

import org.jspecify.annotations.NullMarked;
