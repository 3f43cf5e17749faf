package org.oleanderspring.core.port.query;

/**
 * What a read of the platform returned.
 *
 * @param <T> the type of content
 */
public sealed interface Reading<T> {
    /**
     * The content.
     *
     * @param value what was read
     * @param <T> the type of content
     */
    record Found<T>(T value) implements Reading<T> {}

    /**
     * The source could not be read.
     *
     * @param reason why, for the log
     * @param <T> the type of content
     */
    record Unavailable<T>(String reason) implements Reading<T> {}
}
