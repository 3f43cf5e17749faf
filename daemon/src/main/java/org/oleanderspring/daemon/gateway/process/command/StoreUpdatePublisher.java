package org.oleanderspring.daemon.gateway.process.command;

import java.time.Duration;
import java.util.List;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.query.PrefixListener;
import org.oleanderspring.coordination.store.query.StoreChange;
import org.oleanderspring.daemon.gateway.GatewayKeys;
import org.oleanderspring.daemon.gateway.StoreUpdate;
import org.oleanderspring.daemon.gateway.placement.command.ResidencyInput;
import org.oleanderspring.daemon.gateway.quarantine.command.QuarantineInput;
import org.oleanderspring.daemon.gateway.routing.command.GatewayRoutingInput;
import org.oleanderspring.daemon.gateway.share.command.ShareInput;

/**
 * Offers the updates of one watched key prefix of the key-value service to the routing and
 * placement duties, and those of the daemons' own keys to the quarantine duty as well.
 */
final class StoreUpdatePublisher implements PrefixListener {
    private final StoreKey mPrefix;
    private final GatewayRings mRings;

    StoreUpdatePublisher(StoreKey prefix, GatewayRings rings) {
        mPrefix = prefix;
        mRings = rings;
    }

    @Override
    public void listed(List<StoredValue> values) {
        offer(new StoreUpdate.Listed(mPrefix, values));
    }

    @Override
    public void changed(List<StoreChange> changes) {
        offer(new StoreUpdate.Changed(mPrefix, changes));
    }

    @Override
    public void interrupted(String reason) {
        offer(new StoreUpdate.Interrupted(mPrefix, reason));
    }

    @Override
    public void resumed(Duration outdatedFor) {
        offer(new StoreUpdate.Resumed(mPrefix, outdatedFor));
    }

    private void offer(StoreUpdate update) {
        mRings.routingSink().offer(new GatewayRoutingInput.StoreChanged(update));
        mRings.placementSink().offer(new ResidencyInput.StoreChanged(update));
        if (!mPrefix.equals(GatewayKeys.RUNNERS)) {
            mRings.shareSink().offer(new ShareInput.StoreChanged(update));
        }
        if (mPrefix.equals(GatewayKeys.DAEMONS)) {
            mRings.quarantineSink().offer(new QuarantineInput.StoreChanged(update));
        }
    }
}
