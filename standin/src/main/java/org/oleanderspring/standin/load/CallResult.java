package org.oleanderspring.standin.load;

import java.time.Duration;
import java.util.Objects;

/**
 * What a caller saw of one call.
 *
 * @param ending how it ended
 * @param cold whether the target had not answered any call before this one was sent
 * @param duration from sending until the end of the answer
 * @param detail the refusal type or the failure, for the summary
 */
public record CallResult(Ending ending, boolean cold, Duration duration, String detail) {
    /** Checks for missing parts. */
    public CallResult {
        Objects.requireNonNull(ending, "ending");
        Objects.requireNonNull(duration, "duration");
        Objects.requireNonNull(detail, "detail");
    }

    /** How a call ended. */
    public enum Ending {
        /** The whole answer arrived and belongs to this call. */
        SERVED,
        /** A refusal arrived that says that the work did not run. */
        REFUSED_NOT_RUN,
        /** A refusal arrived that says that the work ran or may have run. */
        REFUSED_OTHER,
        /** The answer of another call arrived. */
        WRONG,
        /** No answer arrived. */
        LOST
    }
}
