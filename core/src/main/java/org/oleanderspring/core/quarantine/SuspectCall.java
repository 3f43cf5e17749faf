package org.oleanderspring.core.quarantine;

import java.util.Objects;

/**
 * A call that a runner was beginning to answer when it ended.
 *
 * @param request the name by which the client and the log identify the request
 * @param prompt the parts of its prompt
 */
public record SuspectCall(String request, Prompt prompt) {
    /** Rejects null components. */
    public SuspectCall {
        Objects.requireNonNull(request, "request");
        Objects.requireNonNull(prompt, "prompt");
    }
}
