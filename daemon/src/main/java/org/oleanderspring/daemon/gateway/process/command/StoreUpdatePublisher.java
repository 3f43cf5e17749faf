package org.oleanderspring.daemon.gateway.process.command;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.oleanderspring.coordination.store.StoreEra;
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
 * placement duties, and those of the daemons' own keys to the quarantine duty as well. The
 * configuration is decoded here, once and not on the threads of these duties.
 */
final class StoreUpdatePublisher implements PrefixListener {
    private static final Logger LOGGER = System.getLogger(StoreUpdatePublisher.class.getName());

    private final StoreKey mPrefix;
    private final GatewayRings mRings;

    StoreUpdatePublisher(StoreKey prefix, GatewayRings rings) {
        mPrefix = prefix;
        mRings = rings;
    }

    @Override
    public void listed(List<StoredValue> values) {
        if (mPrefix.equals(GatewayKeys.CONFIGURATION)) {
            values.forEach(this::offerConfiguration);
            return;
        }
        offer(new StoreUpdate.Listed(mPrefix, values));
    }

    @Override
    public void changed(List<StoreChange> changes) {
        if (mPrefix.equals(GatewayKeys.CONFIGURATION)) {
            for (StoreChange change : changes) {
                if (change instanceof StoreChange.Written written) {
                    offerConfiguration(written.value());
                }
            }
            return;
        }
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

    @Override
    public void confirmed(Instant provenAt) {
        if (mPrefix.equals(GatewayKeys.CONFIGURATION)) {
            mRings.routingSink()
                    .offer(
                            new GatewayRoutingInput.StoreChanged(
                                    new StoreUpdate.Confirmed(mPrefix, provenAt)));
        }
    }

    @Override
    public void restored(StoreEra era) {
        offer(new StoreUpdate.Restored(mPrefix, era));
    }

    private void offerConfiguration(StoredValue value) {
        if (value.key().equals(GatewayKeys.CONFIGURATION)) {
            offer(StoreUpdate.ConfigurationRead.of(value, StoreUpdatePublisher::logProblem));
        }
    }

    private static void logProblem(String problem) {
        LOGGER.log(Level.ERROR, "[gateway] configuration-part-ignored problem=\"" + problem + "\"");
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
