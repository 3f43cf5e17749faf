package org.oleanderspring.standin.engine;

import java.time.Duration;

/**
 * The settings of an engine.
 *
 * @param runner the runner name in its reports
 * @param memoryMegabytes the memory for loaded checkpoints, in MB, at least 0
 * @param concurrency the number of calls that run concurrently, at least 1
 * @param queueLimit the number of calls that may wait in the engine, at least 0
 * @param tokens the maximum and default number of tokens per response, at least 1
 * @param tokenDelay the time between two tokens
 * @param prefillDelay the extra time before the first token if the prompt prefix is not cached
 * @param loadTimes the durations of loads and unloads
 * @param reportLag the time until a change is visible in reports and cache events
 * @param checksToken whether orders are rejected if their fencing token is below the highest
 *     accepted one
 */
public record EngineOptions(
        String runner,
        long memoryMegabytes,
        int concurrency,
        int queueLimit,
        int tokens,
        Duration tokenDelay,
        Duration prefillDelay,
        SimulatedLoadTimes loadTimes,
        Duration reportLag,
        boolean checksToken) {
    /** Validates the ranges of the numbers. */
    public EngineOptions {
        if (memoryMegabytes < 0 || concurrency < 1 || queueLimit < 0 || tokens < 1) {
            throw new IllegalArgumentException(
                    "engine options out of range: memoryMegabytes="
                            + memoryMegabytes
                            + " (minimum 0), concurrency="
                            + concurrency
                            + " (minimum 1), queueLimit="
                            + queueLimit
                            + " (minimum 0), tokens="
                            + tokens
                            + " (minimum 1)");
        }
    }
}
