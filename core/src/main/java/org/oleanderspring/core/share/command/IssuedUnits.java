package org.oleanderspring.core.share.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;

/**
 * The units that were issued during the last window, less those that were returned, in slots of a
 * fixed length. A slot counts until it lies outside of the window completely.
 */
final class IssuedUnits {
    private static final long SLOT_MILLIS = 100;

    private final double[] mSlots;
    private long mLastSlot = Long.MIN_VALUE;
    private double mSum;

    IssuedUnits(Duration window) {
        mSlots = new double[(int) (window.toMillis() / SLOT_MILLIS) + 2];
    }

    double sum(Instant now) {
        advance(slot(now));
        return mSum;
    }

    void add(double units, Instant now) {
        advance(slot(now));
        mSlots[index(mLastSlot)] += units;
        mSum += units;
    }

    /** Removes units that were issued at a time, or later; those outside of the window stay. */
    void remove(double units, Instant issuedAt, Instant now) {
        advance(slot(now));
        long slot = Math.max(slot(issuedAt), mLastSlot - mSlots.length + 1);
        if (slot > slot(issuedAt) || slot > mLastSlot) {
            return;
        }
        double removed = Math.min(units, mSlots[index(slot)]);
        mSlots[index(slot)] -= removed;
        mSum -= removed;
    }

    private void advance(long slot) {
        if (mLastSlot == Long.MIN_VALUE || slot - mLastSlot >= mSlots.length) {
            Arrays.fill(mSlots, 0);
            mSum = 0;
            mLastSlot = slot;
        }
        while (mLastSlot < slot) {
            mLastSlot++;
            mSum -= mSlots[index(mLastSlot)];
            mSlots[index(mLastSlot)] = 0;
        }
    }

    private int index(long slot) {
        return (int) Math.floorMod(slot, (long) mSlots.length);
    }

    private static long slot(Instant at) {
        return Math.floorDiv(at.toEpochMilli(), SLOT_MILLIS);
    }
}
