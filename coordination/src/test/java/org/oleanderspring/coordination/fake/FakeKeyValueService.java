package org.oleanderspring.coordination.fake;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.store.Revision;
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

    private final VirtualTime mTime;
    private final TreeMap<String, Entry> mEntries = new TreeMap<>();
    private final Map<StoreLeaseId, Granted> mLeases = new HashMap<>();
    private long mRevision;
    private long mNextLease = 1;
    private long mWrites;

    public FakeKeyValueService(VirtualTime time) {
        mTime = time;
    }

    public long writes() {
        return mWrites;
    }

    public @Nullable StoredValue get(StoreKey key) {
        expireLeases();
        Entry entry = mEntries.get(key.path());
        return entry == null ? null : entry.value();
    }

    public ReadResult read(StoreKey key) {
        StoredValue value = get(key);
        return new ReadResult.Found(value == null ? List.of() : List.of(value));
    }

    public WriteResult write(CompareAndSwap command) {
        StoredValue current = get(command.key());
        Revision revision = current == null ? Revision.ABSENT : current.revision();
        if (!command.lease().equals(StoreLeaseId.NONE) && !mLeases.containsKey(command.lease())) {
            return new WriteResult.Unavailable("unknown lease");
        }
        if (!revision.equals(command.expected())) {
            return new WriteResult.Conflict(current);
        }
        mWrites++;
        Revision next = new Revision(++mRevision);
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
        return new StoreLeaseResult.Held(lease, timeToLive);
    }

    public StoreLeaseResult renew(StoreLeaseId lease) {
        expireLeases();
        Granted granted = mLeases.get(lease);
        if (granted == null) {
            return new StoreLeaseResult.Lapsed();
        }
        Duration timeToLive = granted.timeToLive();
        mLeases.put(lease, new Granted(timeToLive, mTime.now().plus(timeToLive)));
        return new StoreLeaseResult.Held(lease, timeToLive);
    }

    public StoreLeaseResult revoke(StoreLeaseId lease) {
        mLeases.remove(lease);
        removeKeysOfEndedLeases();
        return new StoreLeaseResult.Lapsed();
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
