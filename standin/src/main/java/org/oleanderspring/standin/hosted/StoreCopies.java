package org.oleanderspring.standin.hosted;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The recent copies of a simulated key-value service, and what others than daemons wrote. */
final class StoreCopies {
    /** Covers some 20 s of copies. */
    private static final int KEPT = 1_000;

    /**
     * The state at a time.
     *
     * @param nanos the time
     * @param items the items
     * @param leases the time to live of each lease, in milliseconds
     * @param revision the revision
     * @param nextLease the identity of the next lease
     */
    record Copy(
            long nanos,
            Map<String, HostedItem> items,
            Map<Long, Long> leases,
            long revision,
            long nextLease) {}

    /**
     * A write of an operator or runner.
     *
     * @param nanos its time
     * @param key the key
     * @param value the value in base64, or null if the key was removed
     */
    record OutsideWrite(long nanos, String key, @Nullable String value) {}

    private final Deque<Copy> mCopies = new ArrayDeque<>();
    private final Deque<OutsideWrite> mWrites = new ArrayDeque<>();

    void add(Copy copy) {
        mCopies.addLast(copy);
        if (mCopies.size() > KEPT) {
            mCopies.removeFirst();
        }
    }

    void outsideWrite(String key, @Nullable String value) {
        mWrites.addLast(new OutsideWrite(System.nanoTime(), key, value));
        if (mWrites.size() > KEPT) {
            mWrites.removeFirst();
        }
    }

    /** Returns the latest copy that is not after a time, or else the oldest one. */
    Copy before(long nanos) {
        while (mCopies.size() > 1 && mCopies.getLast().nanos() - nanos > 0) {
            mCopies.removeLast();
        }
        return mCopies.getLast();
    }

    List<OutsideWrite> outsideWritesSince(Copy copy) {
        List<OutsideWrite> writes = new ArrayList<>(mWrites);
        writes.removeIf(write -> write.nanos() - copy.nanos() < 0);
        return writes;
    }
}
