package org.oleanderspring.bench.command;

import java.time.Duration;
import org.oleanderspring.core.fleet.ModelName;

/**
 * One call of a cold-start trace.
 *
 * @param arrival the arrival time, counted from the start of the trace
 * @param model the model or adapter
 * @param daemon the number of the daemon at which it arrives, counted from 0
 * @param callerTimeout how long the caller waits for the answer to begin
 * @param serviceTime how long the call occupies the runner
 */
record ColdStartCall(
        Duration arrival,
        ModelName model,
        int daemon,
        Duration callerTimeout,
        Duration serviceTime) {}
