package org.oleanderspring.coordination.store;

/**
 * The revision of the key-value service at which a key was last written; 0 for a key that does not
 * exist.
 *
 * @param value the revision, at least 0
 */
public record Revision(long value) implements Comparable<Revision> {
    /** The revision of a key that does not exist. */
    public static final Revision ABSENT = new Revision(0);

    /** Rejects a negative revision. */
    public Revision {
        if (value < 0) {
            throw new IllegalArgumentException("revision is negative: " + value);
        }
    }

    @Override
    public int compareTo(Revision other) {
        return Long.compare(value, other.value);
    }
}
