package org.oleanderspring.core.routing;

/**
 * The identity of a call within the daemon that accepted it. A daemon process does not reuse
 * identities.
 *
 * @param value the number of the call
 */
public record CallId(long value) {
    @Override
    public String toString() {
        return "call-" + value;
    }
}
