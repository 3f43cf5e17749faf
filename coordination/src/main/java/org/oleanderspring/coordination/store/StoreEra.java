package org.oleanderspring.coordination.store;

/**
 * The number of times that the key-value service has come back from a copy. A service that comes
 * back from a copy loses what it acknowledged since the copy was made, and gives the same revisions
 * and lease identities out again. Both have a meaning within one era only.
 *
 * @param value the era; 0 if the service names none
 */
public record StoreEra(long value) implements Comparable<StoreEra> {
    /** The era of a service that names none. */
    public static final StoreEra UNKNOWN = new StoreEra(0);

    /** The highest era; see {@link Revision#ordinal}. */
    public static final long LIMIT = (1 << 13) - 1;

    /** Rejects a negative era and one above {@link #LIMIT}. */
    public StoreEra {
        if (value < 0 || value > LIMIT) {
            throw new IllegalArgumentException(
                    "store era is not from 0 to " + LIMIT + ": " + value);
        }
    }

    /** Returns the era after this one. */
    public StoreEra next() {
        return new StoreEra(value + 1);
    }

    @Override
    public int compareTo(StoreEra other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
