package org.oleanderspring.standin.keyvalue;

/**
 * The rate limits of the key-value stand-in.
 *
 * @param readsPerSecond the reads allowed per second
 * @param writesPerSecond the writes allowed per second
 */
public record KeyValueOptions(int readsPerSecond, int writesPerSecond) {
    /** The limits that the platform documents for its key-value service. */
    public static final KeyValueOptions DEFAULT = new KeyValueOptions(2_000, 400);
}
