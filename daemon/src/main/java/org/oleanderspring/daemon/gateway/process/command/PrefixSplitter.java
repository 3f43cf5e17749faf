package org.oleanderspring.daemon.gateway.process.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.query.PrefixListener;
import org.oleanderspring.coordination.store.query.StoreChange;

/**
 * Divides the updates of one watch among the listeners of several key prefixes, so that prefixes
 * with a common beginning cost one waiting call in place of several. Keys under none of the
 * prefixes are ignored.
 */
final class PrefixSplitter implements PrefixListener {
    private final Map<StoreKey, PrefixListener> mListeners;

    PrefixSplitter(Map<StoreKey, ? extends PrefixListener> listeners) {
        mListeners = new LinkedHashMap<>(listeners);
    }

    @Override
    public void listed(List<StoredValue> values) {
        mListeners.forEach(
                (prefix, listener) -> {
                    List<StoredValue> matching = new ArrayList<>();
                    for (StoredValue value : values) {
                        if (isUnder(prefix, value.key())) {
                            matching.add(value);
                        }
                    }
                    listener.listed(matching);
                });
    }

    @Override
    public void changed(List<StoreChange> changes) {
        mListeners.forEach(
                (prefix, listener) -> {
                    List<StoreChange> matching = new ArrayList<>();
                    for (StoreChange change : changes) {
                        if (isUnder(prefix, keyOf(change))) {
                            matching.add(change);
                        }
                    }
                    if (!matching.isEmpty()) {
                        listener.changed(matching);
                    }
                });
    }

    @Override
    public void interrupted(String reason) {
        mListeners.values().forEach(listener -> listener.interrupted(reason));
    }

    @Override
    public void resumed(Duration outdatedFor) {
        mListeners.values().forEach(listener -> listener.resumed(outdatedFor));
    }

    @Override
    public void confirmed(Instant provenAt) {
        mListeners.values().forEach(listener -> listener.confirmed(provenAt));
    }

    @Override
    public void restored(StoreEra era) {
        mListeners.values().forEach(listener -> listener.restored(era));
    }

    private static boolean isUnder(StoreKey prefix, StoreKey key) {
        return key.path().startsWith(prefix.path());
    }

    private static StoreKey keyOf(StoreChange change) {
        return change instanceof StoreChange.Written written
                ? written.value().key()
                : ((StoreChange.Removed) change).key();
    }
}
