package org.oleanderspring.coordination.document;

/**
 * Identifies a proposed change within one process.
 *
 * @param value the identifier, unique within the process
 */
public record ChangeId(long value) {
    @Override
    public String toString() {
        return Long.toString(value);
    }
}
