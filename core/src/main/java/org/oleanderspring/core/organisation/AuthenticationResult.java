package org.oleanderspring.core.organisation;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** Whether a request is accepted on behalf of its caller. */
public sealed interface AuthenticationResult {
    /**
     * The request is accepted.
     *
     * @param caller on whose behalf
     * @param priority the priority class of the organisation, which takes precedence over that of
     *     the route; 0 is the most urgent; null if it has none
     */
    record Accepted(CallerIdentity caller, @Nullable Integer priority)
            implements AuthenticationResult {
        /** Rejects a null caller. */
        public Accepted {
            Objects.requireNonNull(caller, "caller");
        }
    }

    /** The key is missing, malformed or unknown. */
    record Rejected() implements AuthenticationResult {}

    /** The daemon cannot tell, because its configuration may be out of date. */
    record Unverified() implements AuthenticationResult {}
}
