package org.oleanderspring.bench.command;

import java.time.Duration;
import org.oleanderspring.core.fleet.ModelName;

/**
 * One call of a trace.
 *
 * @param at when it arrives, since the start of the trace
 * @param model the model or adapter
 * @param daemon the daemon at which it arrives
 * @param patience how long its caller waits for the answer to begin
 * @param service how long the runner works on it
 */
record ColdStartCall(
        Duration at, ModelName model, int daemon, Duration patience, Duration service) {}
