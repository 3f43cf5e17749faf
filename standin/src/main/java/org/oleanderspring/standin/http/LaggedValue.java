package org.oleanderspring.standin.http;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A value whose updates become visible to readers after a fixed lag. Not thread-safe: used on the
 * owner thread only.
 *
 * @param <T> the type of value
 */
public final class LaggedValue<T> {
    private static final int MAX_VERSIONS = 10_000;

    private final Duration mLag;
    private final Deque<Version<T>> mVersions = new ArrayDeque<>();

    /**
     * Creates a value.
     *
     * @param lag the time until an update becomes visible
     * @param initial the first version, which is visible at once
     * @param now the current time
     */
    public LaggedValue(Duration lag, T initial, Instant now) {
        mLag = lag;
        mVersions.add(new Version<>(initial, now));
    }

    /**
     * Adds a version, which becomes visible after the lag. Beyond 10,000 pending versions the
     * oldest is dropped, and the next one is visible before its lag has passed.
     *
     * @param value the new value
     * @param now the current time
     */
    public void set(T value, Instant now) {
        removeExpired(now);
        mVersions.addLast(new Version<>(value, now));
        if (mVersions.size() > MAX_VERSIONS) {
            mVersions.removeFirst();
        }
    }

    /**
     * Returns the version that is visible to readers.
     *
     * @param now the current time
     */
    public T visibleValue(Instant now) {
        removeExpired(now);
        return mVersions.getFirst().value();
    }

    /**
     * Returns the time whose state is visible: the current time less the lag, but not before the
     * oldest version.
     *
     * @param now the current time
     */
    public Instant visibleAsOf(Instant now) {
        Instant first = mVersions.getFirst().since();
        Instant asOf = now.minus(mLag);
        return asOf.isBefore(first) ? first : asOf;
    }

    private void removeExpired(Instant now) {
        Instant asOf = now.minus(mLag);
        while (mVersions.size() > 1) {
            Version<T> first = mVersions.removeFirst();
            if (mVersions.getFirst().since().isAfter(asOf)) {
                mVersions.addFirst(first);
                return;
            }
        }
    }

    private record Version<T>(T value, Instant since) {}
}
