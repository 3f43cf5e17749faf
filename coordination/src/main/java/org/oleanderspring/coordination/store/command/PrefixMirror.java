package org.oleanderspring.coordination.store.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.query.StoreChange;

/**
 * The decoded values below a prefix, as far as they are known.
 *
 * <p>Values bound to leases vanish while the service is away, because their writers cannot renew
 * the leases, and come back soon after its return. Such a value is kept for a grace time after the
 * return; a removal that is seen at any other time counts at once.
 *
 * @param <V> the type of the decoded values
 */
public final class PrefixMirror<V> {
    private final Duration mGrace;
    private final Function<StoredValue, Optional<V>> mDecoder;
    private final Map<StoreKey, Entry<V>> mEntries = new LinkedHashMap<>();
    private boolean mListed;
    private boolean mInterrupted;
    private Instant mGraceUntil = Instant.MIN;

    /**
     * Creates an empty mirror.
     *
     * @param grace how long after a return of the service a vanished value is kept
     * @param decoder decodes a value; nothing if it is not one
     */
    public PrefixMirror(Duration grace, Function<StoredValue, Optional<V>> decoder) {
        mGrace = grace;
        mDecoder = decoder;
    }

    /**
     * Takes over a list of all values.
     *
     * @param values the values
     * @param now the current time
     * @return whether the known values may differ from before
     */
    public boolean listed(List<StoredValue> values, Instant now) {
        boolean differs = !mListed;
        mListed = true;
        Set<StoreKey> present = new HashSet<>();
        for (StoredValue value : values) {
            present.add(value.key());
            differs |= written(value);
        }
        for (StoreKey key : List.copyOf(mEntries.keySet())) {
            if (!present.contains(key)) {
                differs |= removed(key, now);
            }
        }
        return differs;
    }

    /**
     * Takes over changes.
     *
     * @param changes the changes, the oldest first
     * @param now the current time
     * @return whether a known value differs from before; a value that is only written again, as a
     *     sign of life of its writer, does not
     */
    public boolean changed(List<StoreChange> changes, Instant now) {
        boolean differs = false;
        for (StoreChange change : changes) {
            if (change instanceof StoreChange.Written written) {
                differs |= written(written.value());
            } else if (change instanceof StoreChange.Removed removed) {
                differs |= removed(removed.key(), now);
            }
        }
        return differs;
    }

    /** Notes that the service is away. */
    public void interrupted() {
        mInterrupted = true;
    }

    /**
     * Notes that the service is back.
     *
     * @param now the current time
     */
    public void resumed(Instant now) {
        mInterrupted = false;
        mGraceUntil = now.plus(mGrace);
    }

    /** Returns whether the values were listed at least once. */
    public boolean isListed() {
        return mListed;
    }

    /**
     * Forgets vanished values whose grace time is over.
     *
     * @param now the current time
     * @return whether there were any
     */
    public boolean expire(Instant now) {
        if (mInterrupted || now.isBefore(mGraceUntil)) {
            return false;
        }
        return mEntries.values().removeIf(Entry::isVanished);
    }

    /** Returns the known values in the order of their first appearance. */
    public List<V> values() {
        List<V> values = new ArrayList<>();
        for (Entry<V> entry : mEntries.values()) {
            values.add(entry.mValue);
        }
        return values;
    }

    /**
     * Returns the value of one key.
     *
     * @param key the key
     */
    public Optional<V> value(StoreKey key) {
        Entry<V> entry = mEntries.get(key);
        return entry == null ? Optional.empty() : Optional.of(entry.mValue);
    }

    private boolean written(StoredValue value) {
        Optional<V> decoded = mDecoder.apply(value);
        if (decoded.isEmpty()) {
            return mEntries.remove(value.key()) != null;
        }
        @Nullable Entry<V> before = mEntries.put(value.key(), new Entry<>(decoded.get()));
        return before == null || !before.mValue.equals(decoded.get());
    }

    private boolean removed(StoreKey key, Instant now) {
        if (!mInterrupted && !now.isBefore(mGraceUntil)) {
            return mEntries.remove(key) != null;
        }
        @Nullable Entry<V> entry = mEntries.get(key);
        if (entry != null) {
            entry.mVanished = true;
        }
        return false;
    }

    /** One value. */
    private static final class Entry<V> {
        private final V mValue;
        private boolean mVanished;

        Entry(V value) {
            mValue = value;
        }

        boolean isVanished() {
            return mVanished;
        }
    }
}
