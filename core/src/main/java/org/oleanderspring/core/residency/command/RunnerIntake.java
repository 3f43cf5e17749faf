package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.EndpointStatement;
import org.oleanderspring.core.fleet.RateLimit;
import org.oleanderspring.core.fleet.StatedLimit;

/** How much a runner takes, as it has said to the daemons that send it calls. */
final class RunnerIntake {
    /** Daemons repeat what a runner has said; a limit that nobody reports any more has ended. */
    private static final Duration LIMIT_VALIDITY = Duration.ofSeconds(2);

    private boolean mLeaving;
    private @Nullable RateLimit mLimit;
    private Instant mLimitReportedAt = Instant.MIN;

    void apply(EndpointStatement statement, Instant now) {
        mLeaving |= statement.leaving();
        if (statement.limit() instanceof StatedLimit.Limited limited) {
            mLimit = limited.limit();
            mLimitReportedAt = now;
        }
    }

    /** Returns whether the runner leaves; it does not come back. */
    boolean isLeaving() {
        return mLeaving;
    }

    /** Returns the rate of calls that the runner takes for all its models, or null if any. */
    @Nullable RateLimit limit(Instant now) {
        return mLimitReportedAt.plus(LIMIT_VALIDITY).isAfter(now) ? mLimit : null;
    }
}
