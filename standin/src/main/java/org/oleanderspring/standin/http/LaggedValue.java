package org.oleanderspring.standin.http;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A value that readers see as it was some time ago; confined to one duty.
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
     * @param lag how far readers are behind
     * @param initial the first version
     * @param now the time
     */
    public LaggedValue(Duration lag, T initial, Instant now) {
        mLag = lag;
        mVersions.add(new Version<>(initial, now));
    }

    /**
     * Sets a new version.
     *
     * @param value the value
     * @param now the time
     */
    public void set(T value, Instant now) {
        removeExpired(now);
        mVersions.addLast(new Version<>(value, now));
        if (mVersions.size() > MAX_VERSIONS) {
            mVersions.removeFirst();
        }
    }

    /**
     * Returns the version that readers see.
     *
     * @param now the time
     */
    public T visibleValue(Instant now) {
        removeExpired(now);
        return mVersions.getFirst().value();
    }

    /**
     * Returns the time whose state readers see.
     *
     * @param now the time
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
