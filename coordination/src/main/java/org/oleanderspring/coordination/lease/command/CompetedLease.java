package org.oleanderspring.coordination.lease.command;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.lease.LeaseName;
import org.oleanderspring.coordination.lease.LeaseValue;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreOperationId;

/** The state of one lease that a daemon competes for, holds or gives up. */
final class CompetedLease {
    final LeaseName mName;
    final StoreKey mKey;
    int mRank;
    boolean mWanted = true;
    boolean mHeld;

    /** Whether a write of this daemon may have taken effect or may still do so. */
    boolean mUnsettled;

    /** Whether the key may be written at {@link #mRevision}; otherwise it is read first. */
    boolean mWritable = true;

    Revision mRevision = Revision.ABSENT;

    /** What the holder before told, if the key at {@link #mRevision} is its free mark. */
    @Nullable String mFoundHandover;

    /** What the next holder is told once this daemon gives the lease up. */
    @Nullable String mHandover;

    /**
     * The revision that the last free mark was to replace. That write may still arrive, so a lease
     * found at this revision is written again before it counts as held.
     */
    @Nullable Revision mFreedRevision;

    /**
     * Until when a create without a reply may still take effect, if another writer's key is removed
     * meanwhile. A request is assumed to arrive within a time to live or never.
     */
    Instant mCreateSettledAt = Instant.MIN;

    Instant mNextStep;
    @Nullable Pending mPending;

    CompetedLease(LeaseName name, StoreKey key, int rank, Instant nextStep) {
        mName = name;
        mKey = key;
        mRank = rank;
        mNextStep = nextStep;
    }

    /**
     * An operation without a reply so far.
     *
     * @param operation connects the reply
     * @param sentAt when it was sent
     * @param mark what is written, or null for a read
     */
    record Pending(StoreOperationId operation, Instant sentAt, @Nullable LeaseValue mark) {}
}
