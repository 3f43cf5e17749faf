package org.oleanderspring.coordination.lease;

import org.oleanderspring.coordination.store.Revision;

/**
 * A number that identifies one period of ownership; each later owner has a higher number.
 *
 * @param value the number, at least 0; 0 means that there was no owner yet
 */
public record FencingToken(long value) implements Comparable<FencingToken> {
    /** The token before the first owner. */
    public static final FencingToken NONE = new FencingToken(0);

    /** Rejects a negative number. */
    public FencingToken {
        if (value < 0) {
            throw new IllegalArgumentException("fencing token is negative: " + value);
        }
    }

    /**
     * Returns the token of the owner that wrote its key at a revision. It is higher than all tokens
     * of an earlier era of the key-value service.
     *
     * @param revision the revision
     */
    public static FencingToken of(Revision revision) {
        return new FencingToken(revision.ordinal());
    }

    /** Returns the token of the next owner. */
    public FencingToken next() {
        return new FencingToken(value + 1);
    }

    @Override
    public int compareTo(FencingToken other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
