package org.oleanderspring.standin.keyvalue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * The keys, leases and revision history; used on the stand-in's state thread only.
 *
 * <p>Writes and deletions are applied to the keys at once, but belong to a transaction until {@link
 * #commit()}: then all of them share one new revision, which is one more than the previous one, and
 * are passed to the listener together. A transaction without changes creates no revision. The
 * history holds the latest 10,000 changes; older ones are compacted.
 */
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
     * @param onCommit called with the changes of each new revision, never with none
     */
    public KeyValueStore(Consumer<List<KeyChange>> onCommit) {
        mOnCommit = onCommit;
    }

    /** Returns the current revision. */
    public long revision() {
        return mRevision;
    }

    /**
     * Returns the entry of a key, or null.
     *
     * @param key the key
     */
    public @Nullable KeyValueEntry get(String key) {
        return mEntries.get(key);
    }

    /**
     * Returns the entries of a range, sorted by key.
     *
     * @param range the key range
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
     * Returns whether a key may be attached to a lease.
     *
     * @param lease the lease ID; 0 stands for no lease and is always valid
     */
    public boolean isLeaseValid(long lease) {
        return lease == 0 || mLeases.containsKey(lease);
    }

    /**
     * Writes a key as part of the current transaction, which {@link #commit()} ends.
     *
     * @param key the key
     * @param value the value in base64
     * @param lease the lease ID, or 0
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
     * Removes the keys of a range as part of the current transaction, which {@link #commit()} ends.
     *
     * @param range the key range
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

    /**
     * Ends the current transaction: its changes share one new revision. Without changes, the
     * revision stays the same.
     */
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

    /**
     * Returns the highest revision whose changes were removed from the history of 10,000 changes.
     */
    public long compactedRevision() {
        return mCompactedRevision;
    }

    /**
     * Returns the changes in the history from a revision on.
     *
     * @param revision the first revision
     * @param range the key range
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
     * @param timeToLive the time until it expires unless renewed
     * @param nowNanos the current time of {@link System#nanoTime()}
     * @return the lease ID
     */
    public long grantLease(Duration timeToLive, long nowNanos) {
        mLastLease++;
        mLeases.put(mLastLease, new Lease(timeToLive, nowNanos + timeToLive.toNanos()));
        return mLastLease;
    }

    /**
     * Renews a lease.
     *
     * @param lease the lease ID
     * @param nowNanos the current time of {@link System#nanoTime()}
     * @return its time to live, or null if there is no such lease
     */
    public @Nullable Duration renewLease(long lease, long nowNanos) {
        Lease current = mLeases.get(lease);
        if (current == null) {
            return null;
        }
        long expiresAt = nowNanos + current.timeToLive().toNanos();
        mLeases.put(lease, new Lease(current.timeToLive(), expiresAt));
        return current.timeToLive();
    }

    /**
     * Removes a lease and the keys attached to it, in one revision; without such keys the revision
     * stays the same.
     *
     * @param lease the lease ID
     * @return whether the lease existed
     */
    public boolean revokeLease(long lease) {
        if (mLeases.remove(lease) == null) {
            return false;
        }
        List<KeyValueEntry> attached =
                mEntries.values().stream().filter(entry -> entry.lease() == lease).toList();
        attached.forEach(entry -> delete(new KeyRange(entry.key(), "")));
        commit();
        return true;
    }

    /**
     * Revokes the leases whose time to live has passed since the last renewal.
     *
     * @param nowNanos the current time of {@link System#nanoTime()}
     */
    public void expireLeases(long nowNanos) {
        List<Long> expired = new ArrayList<>();
        mLeases.forEach(
                (id, lease) -> {
                    if (nowNanos - lease.expiresAtNanos() >= 0) {
                        expired.add(id);
                    }
                });
        expired.forEach(this::revokeLease);
    }

    /**
     * Saves the current entries, revision and leases.
     *
     * @param name the name of the snapshot; one of the same name is replaced
     */
    public void saveSnapshot(String name) {
        mSnapshots.put(name, new Snapshot(new TreeMap<>(mEntries), mRevision, Map.copyOf(mLeases)));
    }

    /**
     * Restores the entries, revision and leases of a snapshot. The leases are renewed. The revision
     * may decrease, so later changes use revisions again that clients have seen; the changes after
     * the snapshot are removed from the history.
     *
     * @param name the name of the snapshot
     * @param nowNanos the current time of {@link System#nanoTime()}
     * @throws IllegalArgumentException if there is no snapshot of this name
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
