package org.oleanderspring.coordination.store;

import java.util.Objects;

/**
 * The revision of the key-value service at which a key was last written; 0 for a key that does not
 * exist. Revisions are ordered by era, then by number, because a service that comes back from a
 * copy gives numbers out again.
 *
 * @param era the era in which the revision was read
 * @param value the number, at least 0
 */
public record Revision(StoreEra era, long value) implements Comparable<Revision> {
    /** The revision of a key that does not exist. */
    public static final Revision ABSENT = new Revision(0);

    private static final int NUMBER_BITS = 40;

    /** Rejects a null era, a negative number, and one that does not fit {@link #ordinal}. */
    public Revision {
        Objects.requireNonNull(era, "era");
        if (value < 0) {
            throw new IllegalArgumentException("revision is negative: " + value);
        }
        if (!era.equals(StoreEra.UNKNOWN) && value >> NUMBER_BITS != 0) {
            throw new IllegalArgumentException(
                    "revision " + value + " of era " + era + " exceeds " + NUMBER_BITS + " bits");
        }
    }

    /**
     * Creates a revision of a service that names no era.
     *
     * @param value the number, at least 0
     */
    public Revision(long value) {
        this(StoreEra.UNKNOWN, value);
    }

    /**
     * Returns one number with the same order. It is the revision itself if the service names no
     * era. Otherwise the era stands above the lowest 40 bits, which suffice for more than 30 years
     * of 1,000 changes a second. The result stays below 2^53, up to which every JSON parser reads
     * integers exactly.
     */
    public long ordinal() {
        return (era.value() << NUMBER_BITS) + value;
    }

    @Override
    public int compareTo(Revision other) {
        int eras = era.compareTo(other.era);
        return eras != 0 ? eras : Long.compare(value, other.value);
    }
}
