/**
 * Command line tools that measure the deciders of the core and of coordination. A decider is a
 * single-threaded state machine that turns events into decisions. The tools pass it the production
 * events on a virtual clock and execute its decisions with simulated peers, runners and stores.
 */
@NullMarked
package org.oleanderspring.bench;

import org.jspecify.annotations.NullMarked;
