package org.oleanderspring.coordination.watch;

import java.time.Duration;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Bounds of the calls that follow key prefixes.
 *
 * <p>All times follow from the settle limit: after an outage of the key-value service, or after
 * connections have become silent, the daemon acts on current values within that time. In the worst
 * case a poll begins just before the end of the outage and gets no answer, and no other call of the
 * daemon shows that the service answers. {@link #pollLimit()} and the answer to the next call stay
 * below the settle limit together; while calls fail, {@link #longestRetryDelay()} does.
 *
 * @param settleLimit the longest time from the end of a disturbance until values are current again
 * @param answerLimit how long to wait for an answer that the service does not delay
 * @param readsPerSecond the number of reads that the service takes from all daemons in a second
 * @param proofLimit the age that the proof of the values must not reach while the service answers,
 *     or null if none is needed
 */
public record WatchOptions(
        Duration settleLimit,
        Duration answerLimit,
        int readsPerSecond,
        @Nullable Duration proofLimit) {
    /** The share of the settle limit for which the service may delay its answer to a poll. */
    private static final double WAIT_SHARE = 0.8;

    /**
     * The share of the proof limit for which the service may delay its answer to a poll. An answer
     * with a change proves the values at the time of its call only, so just before the answer to a
     * poll the proof can be as old as two waits; and the daemon needs the rest for a poll whose
     * answer is delayed.
     */
    private static final double PROOF_WAIT_SHARE = 0.36;

    /** The share of the settle limit that a delayed answer may take in addition. */
    private static final double DELAYED_ANSWER_SHARE = 0.1;

    /** The share of the settle limit between two calls while the service does not answer. */
    private static final double RETRY_SHARE = 0.5;

    /** The share of the service's reads that the daemons use when all of them return at once. */
    private static final double RETURN_SHARE = 0.5;

    private static final long NANOS_PER_SECOND = 1_000_000_000;

    /** Rejects null components and limits that are not positive. */
    public WatchOptions {
        Objects.requireNonNull(settleLimit, "settleLimit");
        Objects.requireNonNull(answerLimit, "answerLimit");
        if (settleLimit.isNegative() || settleLimit.isZero()) {
            throw new IllegalArgumentException("settle limit is not positive: " + settleLimit);
        }
        if (answerLimit.isNegative() || answerLimit.isZero()) {
            throw new IllegalArgumentException("answer limit is not positive: " + answerLimit);
        }
        if (readsPerSecond < 1) {
            throw new IllegalArgumentException("reads are not positive: " + readsPerSecond);
        }
    }

    /**
     * Creates options without a limit for the age of proofs.
     *
     * @param settleLimit the longest time from the end of a disturbance until values are current
     * @param answerLimit how long to wait for an answer that the service does not delay
     * @param readsPerSecond the number of reads that the service takes from all daemons in a second
     */
    public WatchOptions(Duration settleLimit, Duration answerLimit, int readsPerSecond) {
        this(settleLimit, answerLimit, readsPerSecond, null);
    }

    /** Returns how long the service may delay its answer to a poll if there is no change. */
    public Duration pollWait() {
        Duration wait = share(settleLimit, WAIT_SHARE);
        if (proofLimit == null) {
            return wait;
        }
        Duration proofWait = share(proofLimit, PROOF_WAIT_SHARE);
        return proofWait.compareTo(wait) < 0 ? proofWait : wait;
    }

    /**
     * Returns the time after which a poll without an answer is given up. If proofs are needed, the
     * wait is shorter than the settle limit asks for, and a slow service gets the time of other
     * calls: a poll that is given up proves nothing.
     */
    public Duration pollLimit() {
        Duration least = pollWait().plus(share(settleLimit, DELAYED_ANSWER_SHARE));
        if (proofLimit == null) {
            return least;
        }
        Duration most = share(settleLimit, WAIT_SHARE + DELAYED_ANSWER_SHARE);
        Duration withAnswer = pollWait().plus(answerLimit);
        Duration limit = withAnswer.compareTo(most) < 0 ? withAnswer : most;
        return limit.compareTo(least) > 0 ? limit : least;
    }

    /** Returns the longest time between two calls while the service does not answer. */
    public Duration longestRetryDelay() {
        return share(settleLimit, RETRY_SHARE);
    }

    /**
     * Returns the time over which the calls of all daemons are spread after an outage, so that
     * together they use {@link #RETURN_SHARE} of the service's reads.
     *
     * @param daemons the number of daemons
     * @param watches the number of prefixes that each of them follows
     */
    public Duration returnSpread(int daemons, int watches) {
        double seconds = (double) daemons * watches / (RETURN_SHARE * readsPerSecond);
        return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
    }

    private static Duration share(Duration whole, double share) {
        return Duration.ofNanos((long) (whole.toNanos() * share));
    }
}
