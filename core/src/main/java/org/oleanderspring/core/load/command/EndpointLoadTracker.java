package org.oleanderspring.core.load.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointStatement;
import org.oleanderspring.core.fleet.StatedLimit;
import org.oleanderspring.core.load.EndpointLoad;
import org.oleanderspring.core.load.EndpointUse;

/**
 * Sums the reports of all daemons about the calls that they run at each endpoint.
 *
 * <p>Each daemon alone runs a call or none at most endpoints, so it can neither balance its calls
 * nor tell a slow endpoint from a long prompt. All daemons together see several calls a second at
 * each endpoint in use.
 *
 * <p>A slow endpoint gets fewer calls, so fewer samples show whether it has recovered. Its slowness
 * therefore decays towards 1 without samples, and calls return in proportion. Averages are
 * geometric, so that one long time weighs as much as one short time. Used by one thread.
 */
public final class EndpointLoadTracker {
    /** The reports of a daemon that ended or cannot be reached are dropped after this time. */
    static final Duration REPORT_VALIDITY = Duration.ofSeconds(2);

    /** The weight of one sample; about the last eight samples determine the average. */
    private static final double SAMPLE_WEIGHT = 0.12;

    /** The slowness of an endpoint lasts for this time after a sample. */
    private static final Duration SAMPLE_VALIDITY = Duration.ofMillis(1_500);

    /** The time constant with which it decays afterwards, until the next sample. */
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(3);

    private final Map<EndpointId, Endpoint> mEndpoints = new TreeMap<>();

    /** Creates a tracker without reports. */
    public EndpointLoadTracker() {}

    /**
     * Replaces the previous report of a daemon.
     *
     * @param daemon the daemon
     * @param uses the endpoints at which it runs calls or received responses
     * @param now the current time
     */
    public void report(MemberId daemon, List<EndpointUse> uses, Instant now) {
        Set<EndpointId> reported = new HashSet<>();
        for (EndpointUse use : uses) {
            reported.add(use.endpoint());
            mEndpoints
                    .computeIfAbsent(use.endpoint(), id -> new Endpoint())
                    .report(daemon, use, now);
        }
        mEndpoints.forEach(
                (id, endpoint) -> {
                    if (!reported.contains(id)) {
                        endpoint.mRunning.remove(daemon);
                    }
                });
    }

    /**
     * Returns the load of the endpoints that run calls or are slow, in order of their identities.
     *
     * @param now the current time
     */
    public List<EndpointLoad> loads(Instant now) {
        List<EndpointLoad> loads = new ArrayList<>();
        mEndpoints.forEach(
                (id, endpoint) ->
                        loads.add(
                                new EndpointLoad(
                                        id,
                                        endpoint.running(now),
                                        endpoint.slowness(now),
                                        endpoint.statement(now))));
        mEndpoints.values().removeIf(endpoint -> endpoint.isIdle(now));
        return loads;
    }

    /** The reports about one endpoint. */
    private static final class Endpoint {
        /** Below this deviation from 1, an endpoint counts as usual. */
        private static final double USUAL = 0.05;

        private final Map<MemberId, Running> mRunning = new HashMap<>();
        private double mSlowness = 1;
        private Instant mSampledAt = Instant.MIN;
        private Instant mLeavingReportedAt = Instant.MIN;
        private StatedLimit mLimit = new StatedLimit.Unlimited();
        private Instant mLimitReportedAt = Instant.MIN;

        void report(MemberId daemon, EndpointUse use, Instant now) {
            mRunning.put(daemon, new Running(use.running(), now));
            if (use.statement().leaving()) {
                mLeavingReportedAt = now;
            }
            if (use.statement().limit() instanceof StatedLimit.Limited limited) {
                mLimit = limited;
                mLimitReportedAt = now;
            }
            if (use.answered() == 0) {
                return;
            }
            double previous = slowness(now);
            double weight = 1 - Math.pow(1 - SAMPLE_WEIGHT, use.answered());
            mSlowness = previous * Math.pow(use.slowness() / previous, weight);
            mSampledAt = now;
        }

        int running(Instant now) {
            int running = 0;
            for (Running report : mRunning.values()) {
                running += report.isValid(now) ? report.calls() : 0;
            }
            return running;
        }

        double slowness(Instant now) {
            if (mSampledAt.equals(Instant.MIN)) {
                return 1;
            }
            double age = seconds(Duration.between(mSampledAt.plus(SAMPLE_VALIDITY), now));
            return Math.pow(mSlowness, Math.exp(-Math.max(0, age) / seconds(RECOVERY_TIME)));
        }

        EndpointStatement statement(Instant now) {
            boolean leaving = mLeavingReportedAt.plus(REPORT_VALIDITY).isAfter(now);
            boolean limited = mLimitReportedAt.plus(REPORT_VALIDITY).isAfter(now);
            return new EndpointStatement(leaving, limited ? mLimit : new StatedLimit.Unlimited());
        }

        boolean isIdle(Instant now) {
            return running(now) == 0
                    && Math.abs(slowness(now) - 1) < USUAL
                    && statement(now).equals(EndpointStatement.NONE);
        }

        private static double seconds(Duration duration) {
            return duration.toNanos() / 1e9;
        }
    }

    /** The calls that one daemon reported at one endpoint. */
    private record Running(int calls, Instant at) {
        boolean isValid(Instant now) {
            return at.plus(REPORT_VALIDITY).isAfter(now);
        }
    }
}
