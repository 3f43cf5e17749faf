package org.oleanderspring.coordination.lease.command;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.lease.LeaseName;
import org.oleanderspring.coordination.lease.LeaseValue;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreOperationId;

/** The state of one lease that this daemon competes for, holds or is releasing. */
final class TrackedLease {
    final LeaseName mName;
    final StoreKey mKey;
    int mRank;
    boolean mWanted = true;
    boolean mHeld;

    /**
     * Whether a write of this daemon with unknown outcome may have taken effect or may still do so.
     */
    boolean mUnsettled;

    /**
     * Whether the next operation is a write that expects {@link #mRevision}; otherwise the key is
     * read first.
     */
    boolean mCanWrite = true;

    Revision mRevision = Revision.ABSENT;

    /**
     * The handover data of the previous holder, if the key at {@link #mRevision} holds its release.
     */
    @Nullable String mPreviousHandover;

    /** The handover data to store when this daemon releases the lease. */
    @Nullable String mHandover;

    /**
     * The revision that this daemon's last release expected. That write may still arrive at the
     * key-value service, so a lease found at this revision is written again before it counts as
     * held.
     */
    @Nullable Revision mReleaseExpectedRevision;

    /**
     * The time until which a create without a reply may still take effect, if the key of another
     * writer is removed in the meantime. A request is assumed to arrive within one time to live or
     * never.
     */
    Instant mCreatePendingUntil = Instant.MIN;

    Instant mNextStep;
    @Nullable Pending mPending;

    TrackedLease(LeaseName name, StoreKey key, int rank, Instant nextStep) {
        mName = name;
        mKey = key;
        mRank = rank;
        mNextStep = nextStep;
    }

    /**
     * An operation that was sent and has no reply yet.
     *
     * @param operation identifies the operation in its reply
     * @param sentAt when it was sent
     * @param value the value being written, or null for a read
     */
    record Pending(StoreOperationId operation, Instant sentAt, @Nullable LeaseValue value) {}
}
