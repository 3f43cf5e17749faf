package org.oleanderspring.daemon.gateway.share.command;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.organisation.Organisation;
import org.oleanderspring.core.organisation.Quota;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.share.IssuerRole;
import org.oleanderspring.core.share.RateKey;
import org.oleanderspring.core.share.ShareBounds;
import org.oleanderspring.core.share.ShareGrant;
import org.oleanderspring.core.share.SharedRate;
import org.oleanderspring.core.share.command.ShareIssuer;
import org.oleanderspring.core.share.query.IssuerRanking;
import org.oleanderspring.daemon.gateway.FleetView;
import org.oleanderspring.daemon.gateway.GatewayKeys;
import org.oleanderspring.daemon.gateway.GatewayMember;
import org.oleanderspring.daemon.gateway.StoreUpdate;
import org.oleanderspring.daemon.process.SuspendAwareClock;
import org.oleanderspring.duty.command.EventHandler;

/**
 * Issues the quotas of the organisations for which this daemon is the first or the second issuer.
 * All state belongs to the duty's thread.
 */
public final class ShareDuty implements EventHandler<ShareInput> {
    private final GatewayMember mSelf;
    private final ShareIssuer mIssuer;
    private final ShareNotifier mNotifier;
    private final SuspendAwareClock mClock;
    private final FleetView mFleet = new FleetView("[share]");
    private final Map<RateKey, List<GatewayMember>> mIssuers = new HashMap<>();

    /**
     * Creates the duty.
     *
     * @param self this daemon
     * @param bounds how exactly quotas have to be kept
     * @param notifier sends messages to other daemons
     * @param clock gives the time of each event
     */
    public ShareDuty(
            GatewayMember self,
            ShareBounds bounds,
            ShareNotifier notifier,
            SuspendAwareClock clock) {
        mSelf = self;
        mIssuer = new ShareIssuer(bounds);
        mNotifier = notifier;
        mClock = clock;
    }

    @Override
    public void handle(ShareInput input) {
        Instant now = mClock.now();
        if (input instanceof ShareInput.Requested requested) {
            ShareGrant grant = mIssuer.issue(requested.request(), now);
            if (grant != null) {
                GatewayMember.parse(requested.daemon())
                        .ifPresent(member -> mNotifier.sendShare(member, grant));
            }
        } else if (input instanceof ShareInput.ConfirmationRequested requested) {
            GatewayMember.parse(requested.daemon())
                    .ifPresent(member -> confirm(member, requested, now));
        } else if (input instanceof ShareInput.Confirmed confirmed) {
            mIssuer.confirmed(confirmed.key(), confirmed.askedAt(), now);
        } else if (input instanceof ShareInput.StoreChanged changed) {
            apply(changed.update(), now);
        } else if (input instanceof ShareInput.TimerFired) {
            mFleet.expire(now);
            for (RateKey key : mIssuer.takeDueConfirmations(now)) {
                mNotifier.requestConfirmation(issuers(key).get(1), key, now);
            }
        }
    }

    private void confirm(
            GatewayMember first, ShareInput.ConfirmationRequested requested, Instant now) {
        List<GatewayMember> issuers = issuers(requested.key());
        boolean isFirst = !issuers.isEmpty() && issuers.get(0).equals(first);
        if (isFirst && mIssuer.confirm(requested.key(), now)) {
            mNotifier.confirm(first, requested.key(), requested.askedAt());
        }
    }

    private List<GatewayMember> issuers(RateKey key) {
        return mIssuers.getOrDefault(key, List.of());
    }

    private void apply(StoreUpdate update, Instant now) {
        FleetView.Change change = mFleet.apply(update, now);
        if (update.prefix().equals(GatewayKeys.DAEMONS)) {
            mIssuer.contactChanged(!(update instanceof StoreUpdate.Interrupted), now);
        }
        if (change == FleetView.Change.CONFIGURATION || change == FleetView.Change.DAEMONS) {
            assign(now);
        }
    }

    private void assign(Instant now) {
        FleetConfiguration configuration = mFleet.configuration();
        if (configuration == null) {
            return;
        }
        mIssuers.clear();
        Map<RateKey, ShareIssuer.Assignment> assignments = new HashMap<>();
        for (Organisation organisation : configuration.organisations()) {
            SharedRate rate = rateOf(organisation);
            RateKey key = new RateKey(organisation.name().value());
            List<GatewayMember> issuers =
                    IssuerRanking.issuers(key, mFleet.members(), member -> member.id().value());
            IssuerRole role = IssuerRanking.roleOf(mSelf, issuers);
            if (rate != null && role != null) {
                mIssuers.put(key, issuers);
                assignments.put(key, new ShareIssuer.Assignment(rate, role));
            }
        }
        mIssuer.assign(assignments, now);
    }

    private static @Nullable SharedRate rateOf(Organisation organisation) {
        Quota quota = organisation.quota();
        return quota == null || quota.ratePerSecond() == 0
                ? null
                : new SharedRate(quota.ratePerSecond(), quota.burst());
    }
}
