package org.oleanderspring.standin.keyvalue;

/**
 * The settings of the key-value stand-in.
 *
 * @param readsPerSecond the reads allowed a second
 * @param writesPerSecond the writes allowed a second
 */
public record KeyValueOptions(int readsPerSecond, int writesPerSecond) {
    /** The budgets that the platform documents. */
    public static final KeyValueOptions DEFAULT = new KeyValueOptions(2_000, 400);
}
