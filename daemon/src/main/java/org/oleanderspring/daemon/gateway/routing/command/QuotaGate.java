package org.oleanderspring.daemon.gateway.routing.command;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.organisation.Organisation;
import org.oleanderspring.core.organisation.OrganisationName;
import org.oleanderspring.core.organisation.Quota;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.WorkState;
import org.oleanderspring.core.share.RateKey;
import org.oleanderspring.core.share.ShareGrant;
import org.oleanderspring.core.share.command.ShareHolder;
import org.oleanderspring.core.share.query.IssuerRanking;
import org.oleanderspring.daemon.front.Refusal;
import org.oleanderspring.daemon.gateway.GatewayMember;
import org.oleanderspring.daemon.process.SuspendAwareClock;

/**
 * Admits calls within the quota of their organisation. A call waits for a short time while this
 * daemon asks for a part of the quota; what is not used after all is given back. Used on the thread
 * of the routing duty.
 */
final class QuotaGate {
    private final ShareRequester mRequester;
    private final HostedFleet mFleet;
    private final SuspendAwareClock mClock;
    private final MetricRegistry mMetrics;
    private final long mFirstNumber;
    private final Map<OrganisationName, ShareHolder<GatewayCall>> mHolders = new HashMap<>();

    /** What the admitted calls have cost that were not sent to a runner yet. */
    private final Map<CallId, Charge> mCharges = new HashMap<>();

    private record Charge(OrganisationName organisation, double cost, Instant at) {}

    /** A call that is refused by its quota. */
    record Refused(GatewayCall call, Refusal refusal) {}

    /** The calls whose wait has ended. */
    record Released(List<GatewayCall> admitted, List<Refused> refused) {}

    QuotaGate(
            ShareRequester requester,
            HostedFleet fleet,
            SuspendAwareClock clock,
            MetricRegistry metrics,
            long firstNumber) {
        mRequester = requester;
        mFleet = fleet;
        mClock = clock;
        mMetrics = metrics;
        mFirstNumber = firstNumber;
    }

    /** Returns whether a call may go on at once; otherwise it waits and is released later. */
    boolean admit(GatewayCall call) {
        OrganisationName organisation = call.call().origin().organisation();
        Quota quota = organisation == null ? null : quotaOf(organisation);
        if (organisation == null || quota == null) {
            return true;
        }
        double cost = quota.costOf(call.call().origin().tokens());
        ShareHolder<GatewayCall> holder =
                mHolders.computeIfAbsent(
                        organisation,
                        name -> new ShareHolder<>(new RateKey(name.value()), mFirstNumber));
        boolean admitted = holder.admit(call, cost, mClock.now());
        if (admitted) {
            charge(call, organisation, cost);
        }
        request(organisation, holder);
        return admitted;
    }

    /** Takes a part of a quota that was granted. */
    Released granted(ShareGrant grant) {
        OrganisationName organisation = new OrganisationName(grant.key().value());
        ShareHolder<GatewayCall> holder = mHolders.get(organisation);
        if (holder == null) {
            return new Released(List.of(), List.of());
        }
        ShareHolder.Outcome<GatewayCall> outcome = holder.granted(grant, mClock.now());
        outcome.admitted().forEach(call -> charge(call, organisation));
        mMetrics.counter("gateway.quota.calls.admitted_after_wait").inc(outcome.admitted().size());
        List<Refused> refused =
                refuseAll(ErrorMessage.QUOTA_EXCEEDED, outcome.refused(), outcome.availableIn());
        request(organisation, holder);
        return new Released(outcome.admitted(), refused);
    }

    /** Lets time pass: ends the wait of calls without a reply and repeats requests. */
    Released expire() {
        List<Refused> refused = new ArrayList<>();
        mHolders.forEach(
                (organisation, holder) -> {
                    refused.addAll(
                            refuseAll(
                                    ErrorMessage.QUOTA_UNKNOWN, holder.expire(mClock.now()), null));
                    request(organisation, holder);
                });
        return new Released(List.of(), refused);
    }

    /** Records that a call was sent to a runner, so that its units are used. */
    void started(CallId call) {
        mCharges.remove(call);
    }

    /** Gives back the units of a call that ended, unless it was sent to a runner. */
    void ended(CallId call) {
        Charge charge = mCharges.remove(call);
        ShareHolder<GatewayCall> holder =
                charge == null ? null : mHolders.get(charge.organisation());
        if (charge != null && holder != null) {
            holder.giveBack(charge.cost(), charge.at());
        }
    }

    private List<Refused> refuseAll(
            ErrorMessage message, List<GatewayCall> calls, @Nullable Duration availableIn) {
        return calls.stream()
                .map(
                        call ->
                                new Refused(
                                        call,
                                        new Refusal(
                                                message,
                                                message.format(
                                                        String.valueOf(
                                                                call.call()
                                                                        .origin()
                                                                        .organisation())),
                                                WorkState.NOT_RUN,
                                                availableIn)))
                .toList();
    }

    private void charge(GatewayCall call, OrganisationName organisation) {
        Quota quota = quotaOf(organisation);
        if (quota != null) {
            charge(call, organisation, quota.costOf(call.call().origin().tokens()));
        }
    }

    private void charge(GatewayCall call, OrganisationName organisation, double cost) {
        mCharges.put(call.call().id(), new Charge(organisation, cost, mClock.now()));
    }

    private void request(OrganisationName organisation, ShareHolder<GatewayCall> holder) {
        holder.takeRequest(mClock.now())
                .ifPresent(
                        request -> {
                            List<GatewayMember> issuers =
                                    IssuerRanking.issuers(
                                            new RateKey(organisation.value()),
                                            mFleet.view().members(),
                                            member -> member.id().value());
                            mMetrics.counter("gateway.quota.requests").inc();
                            if (!issuers.isEmpty()) {
                                mRequester.requestShare(holder.issuerOf(request, issuers), request);
                            }
                        });
    }

    private @Nullable Quota quotaOf(OrganisationName name) {
        FleetConfiguration configuration = mFleet.view().configuration();
        if (configuration == null) {
            return null;
        }
        for (Organisation organisation : configuration.organisations()) {
            Quota quota = organisation.quota();
            if (organisation.name().equals(name)) {
                return quota == null || quota.ratePerSecond() == 0 ? null : quota;
            }
        }
        return null;
    }
}
