package org.oleanderspring.core.routing;

/**
 * The identity of a call at the daemon that accepted it; never used again by that daemon.
 *
 * @param value the number of the call
 */
public record CallId(long value) {
    @Override
    public String toString() {
        return "call-" + value;
    }
}
