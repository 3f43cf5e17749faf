package org.oleanderspring.core.port.query;

/**
 * The result of a read from the platform or from a runner.
 *
 * @param <T> the type of the content
 */
public sealed interface FetchResult<T> {
    /**
     * The read succeeded.
     *
     * @param value the content
     * @param <T> the type of the content
     */
    record Found<T>(T value) implements FetchResult<T> {}

    /**
     * The source could not be read.
     *
     * @param reason the cause, for the log
     * @param <T> the type of the content
     */
    record Unavailable<T>(String reason) implements FetchResult<T> {}
}
