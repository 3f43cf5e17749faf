package org.oleanderspring.daemon.gateway.process.command;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.query.PrefixListener;
import org.oleanderspring.coordination.store.query.StoreChange;
import org.oleanderspring.coordination.watch.command.WatchEvent;
import org.oleanderspring.daemon.gateway.GatewayKeys;
import org.oleanderspring.duty.command.EventSink;

/**
 * Tells the watches how many daemons there are, by which their calls after an outage are spread.
 */
final class DaemonCounter implements PrefixListener {
    private final EventSink<WatchEvent> mWatches;
    private final Set<StoreKey> mMemberships = new HashSet<>();

    DaemonCounter(EventSink<WatchEvent> watches) {
        mWatches = watches;
    }

    @Override
    public void listed(List<StoredValue> values) {
        mMemberships.clear();
        values.forEach(value -> add(value.key()));
        report();
    }

    @Override
    public void changed(List<StoreChange> changes) {
        for (StoreChange change : changes) {
            if (change instanceof StoreChange.Written written) {
                add(written.value().key());
            } else if (change instanceof StoreChange.Removed removed) {
                mMemberships.remove(removed.key());
            }
        }
        report();
    }

    private void add(StoreKey key) {
        if (GatewayKeys.isMembership(key)) {
            mMemberships.add(key);
        }
    }

    private void report() {
        mWatches.offer(new WatchEvent.DaemonsCounted(Math.max(1, mMemberships.size())));
    }

    @Override
    public void restored(StoreEra era) {}

    @Override
    public void interrupted(String reason) {}

    @Override
    public void resumed(Duration outdatedFor) {}
}
