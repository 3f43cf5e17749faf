package org.oleanderspring.standin.engine;

import java.time.Duration;

/**
 * The settings of an engine.
 *
 * @param runner the identity that its reports carry
 * @param memoryMegabytes the memory for loaded checkpoints
 * @param concurrency how many calls run at a time
 * @param queueLimit how many calls may wait inside the engine
 * @param tokens how many tokens an answer has
 * @param tokenDelay the time between two tokens
 * @param prefillDelay the time before the first token when the prompt's prefix is not cached
 * @param loadTimes how long loads take
 * @param reportLag how far reports and cache events are behind
 * @param checksToken whether orders with an old token are refused
 */
public record EngineOptions(
        String runner,
        long memoryMegabytes,
        int concurrency,
        int queueLimit,
        int tokens,
        Duration tokenDelay,
        Duration prefillDelay,
        LoadTimes loadTimes,
        Duration reportLag,
        boolean checksToken) {
    /** Checks the ranges. */
    public EngineOptions {
        if (memoryMegabytes < 0 || concurrency < 1 || queueLimit < 0 || tokens < 1) {
            throw new IllegalArgumentException("engine options are out of range");
        }
    }
}
