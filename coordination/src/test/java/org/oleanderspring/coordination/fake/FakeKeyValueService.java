package org.oleanderspring.coordination.fake;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreLeaseId;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.command.CompareAndSwap;
import org.oleanderspring.coordination.store.command.StoreLeaseResult;
import org.oleanderspring.coordination.store.command.WriteResult;
import org.oleanderspring.coordination.store.query.ReadResult;

/** A fake key-value service that never fails; {@link FaultyLink} injects the faults. */
public final class FakeKeyValueService {
    private record Granted(Duration timeToLive, Instant end) {}

    private record Entry(StoredValue value, StoreLeaseId lease) {}

    /** The state at a time, from which the service can come back. */
    private record Copy(
            Instant at,
            Map<String, Entry> entries,
            Map<StoreLeaseId, Granted> leases,
            Set<StoreEra> markedEras,
            long revision,
            long nextLease) {}

    private static final int KEPT_COPIES = 200;

    private final VirtualTime mTime;
    private final TreeMap<String, Entry> mEntries = new TreeMap<>();
    private final Map<StoreLeaseId, Granted> mLeases = new HashMap<>();
    private final Set<StoreEra> mMarkedEras = new TreeSet<>();
    private final Deque<Copy> mCopies = new ArrayDeque<>();
    private StoreEra mEra = StoreEra.UNKNOWN;
    private boolean mNamesEras;
    private long mCopiedRevision;
    private long mSwapsAcrossEras;
    private long mRevision;
    private long mNextLease = 1;
    private long mWrites;

    public FakeKeyValueService(VirtualTime time) {
        mTime = time;
    }

    /** Names eras from now on. */
    public void nameEras() {
        mEra = new StoreEra(1);
        mNamesEras = true;
    }

    /** Makes a copy of the present state. */
    public void copy() {
        expireLeases();
        mCopies.addLast(
                new Copy(
                        mTime.now(),
                        new TreeMap<>(mEntries),
                        new HashMap<>(mLeases),
                        new TreeSet<>(mMarkedEras),
                        mRevision,
                        mNextLease));
        if (mCopies.size() > KEPT_COPIES) {
            mCopies.removeFirst();
        }
    }

    /**
     * Comes back from the latest copy that is at least as old as stated, or from the oldest one.
     * Does nothing if the service names no eras or has no copy.
     */
    public void restore(Duration age) {
        if (!mNamesEras || mCopies.isEmpty()) {
            return;
        }
        while (mCopies.size() > 1 && mCopies.getLast().at().isAfter(mTime.now().minus(age))) {
            mCopies.removeLast();
        }
        Copy copy = mCopies.getLast();
        mEntries.clear();
        mEntries.putAll(copy.entries());
        mLeases.clear();
        mLeases.putAll(copy.leases());
        mMarkedEras.clear();
        mMarkedEras.addAll(copy.markedEras());
        mRevision = copy.revision();
        mCopiedRevision = copy.revision();
        mNextLease = copy.nextLease();
        mEra = mEra.next();
    }

    public StoreEra era() {
        return mEra;
    }

    /** Counts the writes of an earlier era that replaced a value of the present one. */
    public long swapsAcrossEras() {
        return mSwapsAcrossEras;
    }

    /** Marks the eras as the adapter of a service that names eras does. */
    private void markEras(StoreEra era) {
        for (long marked = Math.max(1, era.value() - 2); marked <= era.value(); marked++) {
            mMarkedEras.add(new StoreEra(marked));
        }
    }

    public long writes() {
        return mWrites;
    }

    public @Nullable StoredValue get(StoreKey key) {
        expireLeases();
        Entry entry = mEntries.get(key.path());
        if (entry == null) {
            return null;
        }
        StoredValue value = entry.value();
        return new StoredValue(key, value.bytes(), new Revision(mEra, value.revision().value()));
    }

    public ReadResult read(StoreKey key) {
        StoredValue value = get(key);
        return new ReadResult.Found(value == null ? List.of() : List.of(value), mEra);
    }

    public WriteResult write(CompareAndSwap command) {
        StoredValue current = get(command.key());
        Revision revision = current == null ? Revision.ABSENT : current.revision();
        if (!command.lease().equals(StoreLeaseId.NONE) && !mLeases.containsKey(command.lease())) {
            return new WriteResult.Unavailable("unknown lease");
        }
        if (mMarkedEras.contains(command.era().next())) {
            return new WriteResult.Conflict(current, mEra);
        }
        if (revision.value() != command.expected().value()) {
            return new WriteResult.Conflict(current, mEra);
        }
        mWrites++;
        markEras(command.era());
        if (!command.era().equals(mEra) && revision.value() > mCopiedRevision) {
            mSwapsAcrossEras++;
        }
        Revision next = new Revision(mEra, ++mRevision);
        StoredValue value = new StoredValue(command.key(), command.bytes().clone(), next);
        mEntries.put(command.key().path(), new Entry(value, command.lease()));
        return new WriteResult.Written(next);
    }

    public void remove(StoreKey key) {
        mEntries.remove(key.path());
    }

    public StoreLeaseResult grant(Duration timeToLive) {
        StoreLeaseId lease = new StoreLeaseId(mNextLease++);
        mLeases.put(lease, new Granted(timeToLive, mTime.now().plus(timeToLive)));
        return new StoreLeaseResult.Held(lease, timeToLive, mEra);
    }

    public StoreLeaseResult renew(StoreLeaseId lease) {
        expireLeases();
        Granted granted = mLeases.get(lease);
        if (granted == null) {
            return new StoreLeaseResult.Lapsed(mEra);
        }
        Duration timeToLive = granted.timeToLive();
        mLeases.put(lease, new Granted(timeToLive, mTime.now().plus(timeToLive)));
        return new StoreLeaseResult.Held(lease, timeToLive, mEra);
    }

    public StoreLeaseResult revoke(StoreLeaseId lease) {
        mLeases.remove(lease);
        removeKeysOfEndedLeases();
        return new StoreLeaseResult.Lapsed(mEra);
    }

    private void expireLeases() {
        if (mLeases.values().removeIf(granted -> !mTime.now().isBefore(granted.end()))) {
            removeKeysOfEndedLeases();
        }
    }

    private void removeKeysOfEndedLeases() {
        mEntries.values()
                .removeIf(
                        entry ->
                                !entry.lease().equals(StoreLeaseId.NONE)
                                        && !mLeases.containsKey(entry.lease()));
    }
}
