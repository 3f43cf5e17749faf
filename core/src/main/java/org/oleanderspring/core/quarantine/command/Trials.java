package org.oleanderspring.core.quarantine.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.membership.query.RendezvousRanking;
import org.oleanderspring.core.quarantine.PromptPattern;
import org.oleanderspring.core.quarantine.QuarantineEntry;
import org.oleanderspring.core.quarantine.RefusedPattern;

/**
 * Trials of decisions. A decision that refuses all calls with a pattern could never prove wrong, so
 * now and then one call with the pattern is let through. If it is answered, the decision is
 * withdrawn; if its runner crashes, the decision is confirmed.
 *
 * <p>A trial of a pattern that really crashes runners costs a runner, so the number of trials in
 * the whole fleet is bounded: a daemon lets a call through only after it has raised the number of
 * trials in the key-value service by compare-and-swap. Of several daemons one succeeds, a restarted
 * daemon finds the number, and lost messages do not matter. A claim whose outcome is unknown counts
 * as a trial that was not made. Times are measured from the moment at which the daemon learned of
 * the last change of the entry, so that clocks of different VMs are not compared.
 */
final class Trials {
    /** Calls that were already running may be answered until then. */
    static final Duration FIRST_DELAY = Duration.ofMillis(500);

    /**
     * The delay of the second trial, if the first one had no result; it doubles with each trial.
     */
    static final Duration RETRY_DELAY = Duration.ofSeconds(5);

    /** The delay of a trial after the decision was confirmed; it quadruples with each trial. */
    static final Duration RECHECK_DELAY = Duration.ofSeconds(30);

    /** How long a call may be let through after a claim. Refused callers return before. */
    static final Duration GRANT_TIME = Duration.ofSeconds(5);

    private static final int MAX_DOUBLINGS = 6;

    /** The claims of a large fleet for a trial are spread, as only one of them succeeds. */
    private static final Duration CLAIM_SPREAD_PER_DAEMON = Duration.ofMillis(5);

    private static final Duration MAX_CLAIM_SPREAD = Duration.ofSeconds(2);

    private final MemberId mSelf;
    private final EntryTable mTable;
    private final Map<PromptPattern, Grant> mGrants = new HashMap<>();
    private @Nullable QuarantineEntry mClaim;
    private boolean mClaimSent;
    private int mLastTrial;

    private record Grant(int trial, Instant until) {}

    Trials(MemberId self, EntryTable table) {
        mSelf = self;
        mTable = table;
    }

    /** Returns the time from the last change of an entry to its next trial. */
    static Duration delay(QuarantineEntry entry) {
        int repeats = Math.min(MAX_DOUBLINGS, Math.max(0, entry.trials() - 1));
        if (entry.isConfirmed()) {
            return RECHECK_DELAY.multipliedBy(1L << 2 * repeats);
        }
        return entry.trials() == 0 ? FIRST_DELAY : RETRY_DELAY.multipliedBy(1L << repeats);
    }

    /**
     * Begins to claim the next trial of a pattern if it is due and no other claim is open.
     *
     * @param pattern the pattern
     * @param daemons the number of daemons that may claim the trial
     * @param now the current time
     */
    void claimIfDue(PromptPattern pattern, int daemons, Instant now) {
        QuarantineEntry entry = mTable.get(pattern);
        if (mClaim != null || entry == null || !entry.isActive(now)) {
            return;
        }
        Instant due = mTable.changedAt(entry).plus(delay(entry)).plus(spread(pattern, daemons));
        if (!now.isBefore(due)) {
            mClaim = entry.withTrial();
            mClaimSent = false;
        }
    }

    private Duration spread(PromptPattern pattern, int daemons) {
        long range = CLAIM_SPREAD_PER_DAEMON.multipliedBy(daemons).toMillis();
        long weight = RendezvousRanking.weight(pattern.id(), mSelf.value());
        return Duration.ofMillis(
                Math.floorMod(weight, 1 + Math.min(range, MAX_CLAIM_SPREAD.toMillis())));
    }

    /** Returns whether a claim has to be written. */
    boolean hasUnsentClaim() {
        return mClaim != null && !mClaimSent;
    }

    /** Returns entries to write, with the claimed one in its new form. */
    List<QuarantineEntry> withClaim(Collection<QuarantineEntry> entries) {
        QuarantineEntry claim = mClaim;
        if (claim == null || mClaimSent) {
            return List.copyOf(entries);
        }
        mClaimSent = true;
        return entries.stream()
                .map(entry -> claim.supersedes(entry) && isSame(claim, entry) ? claim : entry)
                .toList();
    }

    private static boolean isSame(QuarantineEntry claim, QuarantineEntry entry) {
        return claim.pattern().equals(entry.pattern()) && claim.generation() == entry.generation();
    }

    /** Returns the claim that a successful write contained, or null, and closes it. */
    @Nullable QuarantineEntry takeWritten(List<QuarantineEntry> written) {
        QuarantineEntry claim = mClaim;
        if (claim == null || !mClaimSent || !written.contains(claim)) {
            return null;
        }
        mClaim = null;
        return claim;
    }

    /** Gives up the claim, because a write failed or its outcome is unknown. */
    void dropClaim() {
        mClaim = null;
    }

    /** Lets one call with a pattern through. */
    void grant(PromptPattern pattern, Instant now) {
        mLastTrial++;
        mGrants.put(pattern, new Grant(mLastTrial, now.plus(GRANT_TIME)));
    }

    /** Ends the grants that are over. */
    void expire(Instant now) {
        mGrants.values().removeIf(grant -> !now.isBefore(grant.until()));
    }

    /** Returns whether a grant has to be ended after some time. */
    boolean isWaiting() {
        return !mGrants.isEmpty();
    }

    /** Returns the patterns whose calls are refused. */
    List<RefusedPattern> refusedPatterns(Instant now) {
        return mTable.active(now).stream().map(this::refused).toList();
    }

    private RefusedPattern refused(QuarantineEntry entry) {
        Grant grant = mGrants.get(entry.pattern());
        return new RefusedPattern(
                entry.pattern(), entry.isConfirmed(), grant == null ? 0 : grant.trial());
    }
}
