package org.oleanderspring.standin.keyvalue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** The keys, leases and revisions; confined to the duty of the key-value stand-in. */
public final class KeyValueStore {
    private static final int MAX_HISTORY = 10_000;

    private final TreeMap<String, KeyValueEntry> mEntries = new TreeMap<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final Map<String, Snapshot> mSnapshots = new HashMap<>();
    private final List<KeyChange> mHistory = new ArrayList<>();
    private final List<KeyChange> mUncommitted = new ArrayList<>();
    private final Consumer<List<KeyChange>> mOnCommit;
    private long mRevision = 1;
    private long mLastLease = 1_000;
    private long mCompactedRevision;

    /**
     * Creates an empty store.
     *
     * @param onCommit receives the changes of each revision
     */
    public KeyValueStore(Consumer<List<KeyChange>> onCommit) {
        mOnCommit = onCommit;
    }

    /** Returns the current revision. */
    public long revision() {
        return mRevision;
    }

    /**
     * Returns one key, or null.
     *
     * @param key the key
     */
    public @Nullable KeyValueEntry get(String key) {
        return mEntries.get(key);
    }

    /**
     * Returns the keys of a range, in order.
     *
     * @param range the range
     */
    public List<KeyValueEntry> range(KeyRange range) {
        List<KeyValueEntry> found = new ArrayList<>();
        for (KeyValueEntry entry : mEntries.tailMap(range.key(), true).values()) {
            if (!range.contains(entry.key())) {
                break;
            }
            found.add(entry);
        }
        return found;
    }

    /**
     * Returns whether a lease is held.
     *
     * @param lease the lease; 0 stands for none and is always held
     */
    public boolean isLeaseValid(long lease) {
        return lease == 0 || mLeases.containsKey(lease);
    }

    /**
     * Writes a key; {@link #commit()} makes the change final.
     *
     * @param key the key
     * @param value the value in base64
     * @param lease the lease, or 0
     */
    public void put(String key, String value, long lease) {
        long revision = mRevision + 1;
        KeyValueEntry old = mEntries.get(key);
        long created = old == null ? revision : old.createRevision();
        long version = old == null ? 1 : old.version() + 1;
        KeyValueEntry entry = new KeyValueEntry(key, value, created, revision, version, lease);
        mEntries.put(key, entry);
        mUncommitted.add(new KeyChange(key, entry, revision));
    }

    /**
     * Removes the keys of a range; {@link #commit()} makes the change final.
     *
     * @param range the range
     * @return the number of removed keys
     */
    public int delete(KeyRange range) {
        List<KeyValueEntry> found = range(range);
        for (KeyValueEntry entry : found) {
            mEntries.remove(entry.key());
            mUncommitted.add(new KeyChange(entry.key(), null, mRevision + 1));
        }
        return found.size();
    }

    /** Ends a transaction: its changes share one revision. */
    public void commit() {
        if (mUncommitted.isEmpty()) {
            return;
        }
        mRevision++;
        List<KeyChange> changes = List.copyOf(mUncommitted);
        mUncommitted.clear();
        mHistory.addAll(changes);
        trimHistory();
        mOnCommit.accept(changes);
    }

    private void trimHistory() {
        while (mHistory.size() > MAX_HISTORY) {
            mCompactedRevision = mHistory.remove(0).revision();
        }
    }

    /** Returns the highest revision whose changes are no longer kept. */
    public long compactedRevision() {
        return mCompactedRevision;
    }

    /**
     * Returns the kept changes from a revision on.
     *
     * @param revision the first revision
     * @param range the keys
     */
    public List<KeyChange> changesFrom(long revision, KeyRange range) {
        return mHistory.stream()
                .filter(change -> change.revision() >= revision)
                .filter(change -> range.contains(change.key()))
                .toList();
    }

    /**
     * Grants a lease.
     *
     * @param timeToLive how long it is held without renewal
     * @param nowNanos the monotonic time
     * @return its number
     */
    public long grantLease(Duration timeToLive, long nowNanos) {
        mLastLease++;
        mLeases.put(mLastLease, new Lease(timeToLive, nowNanos + timeToLive.toNanos()));
        return mLastLease;
    }

    /**
     * Renews a lease.
     *
     * @param lease the lease
     * @param nowNanos the monotonic time
     * @return its time to live, or null if it is not held
     */
    public @Nullable Duration renewLease(long lease, long nowNanos) {
        Lease held = mLeases.get(lease);
        if (held == null) {
            return null;
        }
        long ends = nowNanos + held.timeToLive().toNanos();
        mLeases.put(lease, new Lease(held.timeToLive(), ends));
        return held.timeToLive();
    }

    /**
     * Ends a lease and removes its keys.
     *
     * @param lease the lease
     * @return whether it was held
     */
    public boolean revokeLease(long lease) {
        if (mLeases.remove(lease) == null) {
            return false;
        }
        List<KeyValueEntry> bound =
                mEntries.values().stream().filter(entry -> entry.lease() == lease).toList();
        bound.forEach(entry -> delete(new KeyRange(entry.key(), "")));
        commit();
        return true;
    }

    /**
     * Ends the leases that were not renewed in time.
     *
     * @param nowNanos the monotonic time
     */
    public void expireLeases(long nowNanos) {
        List<Long> lapsed = new ArrayList<>();
        mLeases.forEach(
                (id, lease) -> {
                    if (nowNanos - lease.expiresAtNanos() >= 0) {
                        lapsed.add(id);
                    }
                });
        lapsed.forEach(this::revokeLease);
    }

    /**
     * Keeps the present content under a name.
     *
     * @param name the name
     */
    public void saveSnapshot(String name) {
        mSnapshots.put(name, new Snapshot(new TreeMap<>(mEntries), mRevision, Map.copyOf(mLeases)));
    }

    /**
     * Goes back to an older content, its revision and its leases, which start to run again.
     *
     * @param name the name of the snapshot
     * @param nowNanos the monotonic time
     */
    public void restoreSnapshot(String name, long nowNanos) {
        Snapshot snapshot = mSnapshots.get(name);
        if (snapshot == null) {
            throw new IllegalArgumentException("no snapshot named " + name);
        }
        mEntries.clear();
        mEntries.putAll(snapshot.entries());
        mRevision = snapshot.revision();
        mHistory.removeIf(change -> change.revision() > snapshot.revision());
        mLeases.clear();
        mLeases.putAll(snapshot.leases());
        List.copyOf(mLeases.keySet()).forEach(lease -> renewLease(lease, nowNanos));
    }

    private record Lease(Duration timeToLive, long expiresAtNanos) {}

    private record Snapshot(
            TreeMap<String, KeyValueEntry> entries, long revision, Map<Long, Lease> leases) {}
}
