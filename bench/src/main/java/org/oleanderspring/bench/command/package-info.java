/** Subcommands of the benchmark tool, with the simulations and measurements that they run. */
@NullMarked
package org.oleanderspring.bench.command;

import org.jspecify.annotations.NullMarked;
