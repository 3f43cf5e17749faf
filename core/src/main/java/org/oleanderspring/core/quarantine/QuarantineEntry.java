package org.oleanderspring.core.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import org.oleanderspring.core.fleet.EndpointId;

/**
 * The decision that calls with a pattern of prompt parts are refused, or its withdrawal.
 *
 * <p>All daemons keep the entry of a pattern for which {@link #supersedes} holds, so they agree
 * whatever the order in which entries arrive. A withdrawal is kept like the entry that it replaces;
 * otherwise a daemon that missed it could spread the entry again.
 *
 * @param pattern the pattern
 * @param generation the number of the decision about this pattern, from 1
 * @param isWithdrawn whether the decision is withdrawn
 * @param isConfirmed whether a runner crashed under a request that was let through as a trial of
 *     the decision; until then, refused callers are asked to come back
 * @param trials the number of trials that daemons have begun
 * @param until the time at which calls are no longer refused
 * @param runners the runners whose ends led to the decision
 * @param requests the requests under which they ended
 */
public record QuarantineEntry(
        PromptPattern pattern,
        int generation,
        boolean isWithdrawn,
        boolean isConfirmed,
        int trials,
        Instant until,
        List<EndpointId> runners,
        List<String> requests) {
    /** How long calls are refused. Longer than an outage of the key-value service usually lasts. */
    public static final Duration REFUSAL_TIME = Duration.ofMinutes(10);

    /**
     * How long after {@link #until} the entry is remembered. In this time the first crash under a
     * call with the pattern renews the decision.
     */
    public static final Duration PROBATION_TIME = Duration.ofMinutes(50);

    /** Bounds the lists of runners and requests, which are for operators only. */
    public static final int MAX_EVIDENCE = 16;

    /**
     * Copies and shortens the lists; rejects null components, a generation below 1 and a negative
     * number of trials.
     */
    public QuarantineEntry {
        Objects.requireNonNull(pattern, "pattern");
        Objects.requireNonNull(until, "until");
        runners = List.copyOf(runners.subList(0, Math.min(MAX_EVIDENCE, runners.size())));
        requests = List.copyOf(requests.subList(0, Math.min(MAX_EVIDENCE, requests.size())));
        if (generation < 1) {
            throw new IllegalArgumentException("generation is not positive: " + generation);
        }
        if (trials < 0) {
            throw new IllegalArgumentException("number of trials is negative: " + trials);
        }
    }

    /**
     * Returns whether calls with the pattern are refused.
     *
     * @param now the current time
     */
    public boolean isActive(Instant now) {
        return !isWithdrawn && now.isBefore(until);
    }

    /**
     * Returns whether the entry is no longer needed.
     *
     * @param now the current time
     */
    public boolean isForgotten(Instant now) {
        return !now.isBefore(until.plus(PROBATION_TIME));
    }

    /**
     * Returns whether this entry replaces another one for the same pattern: a later decision
     * replaces an earlier one, a withdrawal the decision that it withdraws, a confirmed decision an
     * unconfirmed one, and more trials fewer.
     *
     * @param other the other entry
     */
    public boolean supersedes(QuarantineEntry other) {
        if (generation != other.generation) {
            return generation > other.generation;
        }
        if (isWithdrawn != other.isWithdrawn) {
            return isWithdrawn;
        }
        if (isConfirmed != other.isConfirmed) {
            return isConfirmed;
        }
        return trials > other.trials;
    }

    /** Returns the withdrawal of this decision. */
    public QuarantineEntry withdrawn() {
        return new QuarantineEntry(
                pattern, generation, true, isConfirmed, trials, until, runners, requests);
    }

    /** Returns this decision after a trial that a runner did not survive. */
    public QuarantineEntry confirmed() {
        return new QuarantineEntry(
                pattern, generation, isWithdrawn, true, trials, until, runners, requests);
    }

    /** Returns this decision with one more trial. */
    public QuarantineEntry withTrial() {
        return new QuarantineEntry(
                pattern,
                generation,
                isWithdrawn,
                isConfirmed,
                trials + 1,
                until,
                runners,
                requests);
    }
}
