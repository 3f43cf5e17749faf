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
 * A local copy of the decoded values under a key prefix.
 *
 * <p>During an outage of the key-value service, values bound to leases are removed, because their
 * writers cannot renew the leases; the writers write them again soon after the outage. A value
 * removed during an outage or within the grace period after it is therefore kept until that period
 * ends. At any other time a removal takes effect at once.
 *
 * <p>A service that comes back from a copy lists values as they were some seconds before, until
 * their writers have written them again. Within the grace period after that, a {@link
 * RestoredValuePolicy} decides which listed values take effect at once. The others are held back
 * until the period ends, unless their keys are written before.
 *
 * <p>Not thread-safe; a single thread owns it.
 *
 * @param <V> the type of the decoded values
 */
public final class PrefixMirror<V> {
    private final Duration mGrace;
    private final Function<StoredValue, Optional<V>> mDecoder;
    private final Map<StoreKey, Entry<V>> mEntries = new LinkedHashMap<>();
    private final RestoredValuePolicy<V> mRestoredValues;
    private final Map<StoreKey, V> mHeldBack = new LinkedHashMap<>();
    private boolean mListed;
    private boolean mInterrupted;
    private Instant mGraceUntil = Instant.MIN;
    private Instant mRestoredUntil = Instant.MIN;

    /**
     * Creates an empty mirror.
     *
     * @param grace how long after an outage of the key-value service removed values are kept
     * @param decoder decodes a value; returns empty if the value cannot be decoded, which removes
     *     the earlier value of the key
     */
    public PrefixMirror(Duration grace, Function<StoredValue, Optional<V>> decoder) {
        this(grace, decoder, (known, restored) -> true);
    }

    /**
     * Creates an empty mirror.
     *
     * @param grace how long after an outage of the key-value service removed values are kept
     * @param decoder decodes a value; returns empty if the value cannot be decoded, which removes
     *     the earlier value of the key
     * @param restoredValues which values of a service that came back from a copy take effect at
     *     once
     */
    public PrefixMirror(
            Duration grace,
            Function<StoredValue, Optional<V>> decoder,
            RestoredValuePolicy<V> restoredValues) {
        mGrace = grace;
        mDecoder = decoder;
        mRestoredValues = restoredValues;
    }

    /**
     * Applies a complete list of the values; a known value that is missing from it counts as
     * removed.
     *
     * @param values all values under the prefix
     * @param now the current time
     * @return whether the decoded values may differ from before
     */
    public boolean listed(List<StoredValue> values, Instant now) {
        boolean differs = !mListed;
        mListed = true;
        Set<StoreKey> present = new HashSet<>();
        for (StoredValue value : values) {
            present.add(value.key());
            if (!holdsBack(value, now)) {
                differs |= applyWrite(value);
            }
        }
        for (StoreKey key : List.copyOf(mEntries.keySet())) {
            if (!present.contains(key)) {
                differs |= applyRemoval(key, now);
            }
        }
        return differs;
    }

    /**
     * Applies changes that were reported after the last complete list.
     *
     * @param changes the changes, the oldest first
     * @param now the current time
     * @return whether a decoded value differs from before; rewriting an equal value, as writers do
     *     to show that they are alive, is not a difference
     */
    public boolean changed(List<StoreChange> changes, Instant now) {
        boolean differs = false;
        for (StoreChange change : changes) {
            if (change instanceof StoreChange.Written written) {
                differs |= applyWrite(written.value());
            } else if (change instanceof StoreChange.Removed removed) {
                differs |= applyRemoval(removed.key(), now);
            }
        }
        return differs;
    }

    /** Records that an outage of the key-value service began. */
    public void interrupted() {
        mInterrupted = true;
    }

    /**
     * Records that the outage has ended, which starts the grace period.
     *
     * @param now the current time
     */
    public void resumed(Instant now) {
        mInterrupted = false;
        mGraceUntil = now.plus(mGrace);
    }

    /**
     * Records that the key-value service has come back from a copy, which starts the grace period.
     * Values that the copy lacks are kept until their writers have written them again. Without an
     * earlier list there is nothing to compare the copy with, and it is applied as it is.
     *
     * @param now the current time
     */
    public void restored(Instant now) {
        if (!mListed) {
            return;
        }
        mGraceUntil = now.plus(mGrace);
        mRestoredUntil = mGraceUntil;
        mHeldBack.clear();
    }

    /** Returns whether a complete list was received at least once. */
    public boolean isListed() {
        return mListed;
    }

    /**
     * Drops removed values, and applies those held back, once the grace period is over.
     *
     * @param now the current time
     * @return whether any value was dropped or applied
     */
    public boolean expire(Instant now) {
        if (mInterrupted || now.isBefore(mGraceUntil)) {
            return false;
        }
        boolean differs = mEntries.values().removeIf(Entry::isRemoved);
        for (Map.Entry<StoreKey, V> held : mHeldBack.entrySet()) {
            @Nullable Entry<V> before = mEntries.put(held.getKey(), new Entry<>(held.getValue()));
            differs |= before == null || !before.mValue.equals(held.getValue());
        }
        mHeldBack.clear();
        return differs;
    }

    /** Returns the decoded values, in the order in which their keys were first seen. */
    public List<V> values() {
        List<V> values = new ArrayList<>();
        for (Entry<V> entry : mEntries.values()) {
            values.add(entry.mValue);
        }
        return values;
    }

    /**
     * Returns the decoded value of one key, or empty if it is not known.
     *
     * @param key the key
     */
    public Optional<V> value(StoreKey key) {
        Entry<V> entry = mEntries.get(key);
        return entry == null ? Optional.empty() : Optional.of(entry.mValue);
    }

    private boolean holdsBack(StoredValue value, Instant now) {
        if (!now.isBefore(mRestoredUntil)) {
            return false;
        }
        @Nullable Entry<V> known = mEntries.get(value.key());
        Optional<V> decoded = mDecoder.apply(value);
        if (decoded.isEmpty()
                || mRestoredValues.takesEffect(
                        known == null ? null : known.mValue, decoded.get())) {
            return false;
        }
        mHeldBack.put(value.key(), decoded.get());
        return true;
    }

    private boolean applyWrite(StoredValue value) {
        mHeldBack.remove(value.key());
        Optional<V> decoded = mDecoder.apply(value);
        if (decoded.isEmpty()) {
            return mEntries.remove(value.key()) != null;
        }
        @Nullable Entry<V> before = mEntries.put(value.key(), new Entry<>(decoded.get()));
        return before == null || !before.mValue.equals(decoded.get());
    }

    private boolean applyRemoval(StoreKey key, Instant now) {
        mHeldBack.remove(key);
        if (!mInterrupted && !now.isBefore(mGraceUntil)) {
            return mEntries.remove(key) != null;
        }
        @Nullable Entry<V> entry = mEntries.get(key);
        if (entry != null) {
            entry.mRemoved = true;
        }
        return false;
    }

    /** A decoded value and whether its key was removed during an outage or its grace period. */
    private static final class Entry<V> {
        private final V mValue;
        private boolean mRemoved;

        Entry(V value) {
            mValue = value;
        }

        boolean isRemoved() {
            return mRemoved;
        }
    }
}
