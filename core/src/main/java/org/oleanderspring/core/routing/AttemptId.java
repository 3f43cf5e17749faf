package org.oleanderspring.core.routing;

import java.util.Objects;

/**
 * The identity of one try to run a call on one endpoint.
 *
 * @param call the call
 * @param number 1 for the first attempt
 */
public record AttemptId(CallId call, int number) {
    /** Checks the range. */
    public AttemptId {
        Objects.requireNonNull(call, "call");
        if (number < 1) {
            throw new IllegalArgumentException("attempt number is not positive: " + number);
        }
    }

    @Override
    public String toString() {
        return call + "/" + number;
    }
}
