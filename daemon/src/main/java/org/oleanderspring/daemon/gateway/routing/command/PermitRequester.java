package org.oleanderspring.daemon.gateway.routing.command;

import java.util.List;
import org.oleanderspring.coordination.membership.query.RendezvousRanking;
import org.oleanderspring.core.permit.IssuerRank;
import org.oleanderspring.core.permit.PermitRequest;
import org.oleanderspring.daemon.gateway.GatewayMember;

/**
 * Sends requests for permits to the daemon that issues those of the endpoint. All daemons that know
 * the same members agree on it, and each daemon issues those of a part of the endpoints.
 */
final class PermitRequester {
    private final PermitNotifier mNotifier;
    private final HostedFleet mFleet;

    PermitRequester(PermitNotifier notifier, HostedFleet fleet) {
        mNotifier = notifier;
        mFleet = fleet;
    }

    /** Sends a request, unless no daemon has the rank that is asked. */
    void send(PermitRequest request) {
        List<GatewayMember> issuers =
                RendezvousRanking.top(
                        request.endpoint().value(),
                        mFleet.view().members(),
                        member -> member.id().value(),
                        IssuerRank.values().length);
        if (request.rank().ordinal() < issuers.size()) {
            mNotifier.requestPermits(issuers.get(request.rank().ordinal()), request);
        }
    }
}
