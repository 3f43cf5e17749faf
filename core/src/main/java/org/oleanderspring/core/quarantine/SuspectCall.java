package org.oleanderspring.core.quarantine;

import java.time.Duration;
import java.util.Objects;

/**
 * A call that a runner was beginning to answer when it ended.
 *
 * @param request the name by which the client and the log identify the request
 * @param prompt the parts of its prompt
 * @param exposure the time from the start of the attempt at the runner to its end
 */
public record SuspectCall(String request, Prompt prompt, Duration exposure) {
    /** Rejects null components and a negative exposure. */
    public SuspectCall {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(prompt, "prompt");
        if (exposure.isNegative()) {
            throw new IllegalArgumentException("exposure is negative: " + exposure);
        }
    }
}
