package org.oleanderspring.coordination.document;

/**
 * The identity of a proposed change within one process.
 *
 * @param value the identity
 */
public record ChangeId(long value) {
    @Override
    public String toString() {
        return Long.toString(value);
    }
}
