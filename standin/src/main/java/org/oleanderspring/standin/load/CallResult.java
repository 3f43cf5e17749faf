package org.oleanderspring.standin.load;

import java.time.Duration;
import java.util.Objects;

/**
 * The result of one call of the load generator, as seen by the caller.
 *
 * @param ending how the call ended
 * @param cold whether no call to the same target had been served when this one was sent
 * @param duration the time from the request until the end of the response
 * @param detail the error type or failure for the summary; empty for a served call
 */
public record CallResult(Ending ending, boolean cold, Duration duration, String detail) {
    /** Rejects null components. */
    public CallResult {
        Objects.requireNonNull(ending, "ending");
        Objects.requireNonNull(duration, "duration");
        Objects.requireNonNull(detail, "detail");
    }

    /** How a call ended. */
    public enum Ending {
        /** A complete response to this call arrived. */
        SERVED,
        /** An error response arrived that states that the call was not executed. */
        REFUSED_NOT_RUN,
        /** An error response arrived; the call was executed or may have been. */
        REFUSED_OTHER,
        /** A successful response arrived that does not contain the marker of this call. */
        WRONG,
        /** No complete response arrived. */
        LOST
    }
}
