package org.oleanderspring.daemon.gateway.placement.command;

import java.util.ArrayList;
import java.util.List;
import org.oleanderspring.coordination.lease.LeaseValue;
import org.oleanderspring.coordination.lease.LeaseValueCodec;
import org.oleanderspring.coordination.lease.command.LeaseEvent;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.query.StoreChange;
import org.oleanderspring.daemon.gateway.GatewayKeys;
import org.oleanderspring.daemon.gateway.StoreUpdate;

/** What an update from the key-value service says about the placement lease. */
final class PlacementKeyEvents {
    private static final StoreKey KEY = GatewayKeys.leaseKey(GatewayKeys.PLACEMENT);

    private PlacementKeyEvents() {}

    /** Returns the events for the lease decider, in the order of the update. */
    static List<LeaseEvent> of(StoreUpdate update) {
        List<LeaseEvent> events = new ArrayList<>();
        if (update instanceof StoreUpdate.Restored restored) {
            events.add(new LeaseEvent.EraObserved(restored.era()));
        } else if (update instanceof StoreUpdate.Listed listed) {
            listed.values().forEach(value -> addWritten(value, events));
        } else if (update instanceof StoreUpdate.Changed changed) {
            changed.changes().forEach(change -> add(change, events));
        }
        return events;
    }

    private static void add(StoreChange change, List<LeaseEvent> events) {
        if (change instanceof StoreChange.Removed removed && removed.key().equals(KEY)) {
            events.add(new LeaseEvent.KeyReleased(GatewayKeys.PLACEMENT, Revision.ABSENT, null));
        } else if (change instanceof StoreChange.Written written) {
            addWritten(written.value(), events);
        }
    }

    private static void addWritten(StoredValue value, List<LeaseEvent> events) {
        if (!value.key().equals(KEY)) {
            return;
        }
        LeaseValueCodec.decode(value.bytes())
                .map(leaseValue -> event(leaseValue, value.revision()))
                .ifPresent(events::add);
    }

    private static LeaseEvent event(LeaseValue value, Revision revision) {
        return value.isReleased()
                ? new LeaseEvent.KeyReleased(
                        GatewayKeys.PLACEMENT, revision, value.handoverIn(revision.era()))
                : new LeaseEvent.KeyObserved(GatewayKeys.PLACEMENT, value, revision);
    }
}
