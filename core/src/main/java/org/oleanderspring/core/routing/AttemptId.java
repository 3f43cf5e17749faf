package org.oleanderspring.core.routing;

import java.util.Objects;

/**
 * The identity of one attempt to run a call on an endpoint.
 *
 * @param call the call
 * @param number the number of the attempt within the call, from 1
 */
public record AttemptId(CallId call, int number) {
    /** Rejects a number below 1. */
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
