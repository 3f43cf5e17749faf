package org.oleanderspring.daemon.gateway.process.command;

import java.util.List;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.query.PrefixListener;
import org.oleanderspring.coordination.store.query.StoreChange;
import org.oleanderspring.daemon.gateway.StoreNews;
import org.oleanderspring.daemon.gateway.placement.command.ResidencyInput;
import org.oleanderspring.daemon.gateway.routing.command.GatewayInput;

/** Offers the updates of one watched prefix of the store to the rings of both duties. */
final class StoreFeed implements PrefixListener {
    private final StoreKey mPrefix;
    private final GatewayRings mRings;

    StoreFeed(StoreKey prefix, GatewayRings rings) {
        mPrefix = prefix;
        mRings = rings;
    }

    @Override
    public void listed(List<StoredValue> values) {
        offer(new StoreNews.Listed(mPrefix, values));
    }

    @Override
    public void changed(List<StoreChange> changes) {
        offer(new StoreNews.Changed(mPrefix, changes));
    }

    @Override
    public void interrupted(String reason) {
        offer(new StoreNews.Interrupted(mPrefix, reason));
    }

    @Override
    public void resumed() {
        offer(new StoreNews.Resumed(mPrefix));
    }

    private void offer(StoreNews news) {
        mRings.routing().offer(new GatewayInput.StoreChanged(news));
        mRings.placement().offer(new ResidencyInput.StoreChanged(news));
    }
}
