package org.oleanderspring.coordination.dispatch.command;

import java.time.Instant;
import java.util.Comparator;
import org.oleanderspring.coordination.dispatch.ClaimId;
import org.oleanderspring.coordination.dispatch.KeyHash;

/** A claim, from its arrival until it is settled. */
final class WaitingClaim {
    static final Comparator<WaitingClaim> BY_DEADLINE =
            Comparator.comparing((WaitingClaim claim) -> claim.mDeadline)
                    .thenComparingLong(claim -> claim.mSequence);

    /** The order of arrival, which distinguishes claims with the same deadline. */
    private final long mSequence;

    final ClaimId mId;
    final KeyHash mKey;
    final Instant mArrival;
    final Instant mDeadline;
    boolean mSettled;

    WaitingClaim(long sequence, ClaimId id, KeyHash key, Instant arrival, Instant deadline) {
        mSequence = sequence;
        mId = id;
        mKey = key;
        mArrival = arrival;
        mDeadline = deadline;
    }
}
