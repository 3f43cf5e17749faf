package org.oleanderspring.daemon.gateway.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.oleanderspring.core.load.EndpointLoad;
import org.oleanderspring.core.load.command.EndpointLoadTracker;
import org.oleanderspring.daemon.gateway.GatewayMember;

/**
 * Sums the calls of all daemons at endpoints and sends the sums to the daemons, while this daemon
 * holds the placement lease.
 */
final class EndpointLoadPublisher {
    /**
     * A daemon counts its own calls at once, so the sums need only show the calls of the others.
     * Shorter periods cost bytes between failure domains.
     */
    private static final Duration PERIOD = Duration.ofMillis(500);

    private final EndpointLoadTracker mTracker = new EndpointLoadTracker();
    private final ResidencyNotifier mNotifier;
    private Instant mNextNotice = Instant.MIN;

    EndpointLoadPublisher(ResidencyNotifier notifier) {
        mNotifier = notifier;
    }

    void report(ResidencyInput.EndpointUseReported reported, Instant now) {
        mTracker.report(reported.daemon(), reported.uses(), now);
    }

    /** Sends the sums if that is due. */
    void publishIfDue(List<GatewayMember> daemons, Instant now) {
        if (now.isBefore(mNextNotice)) {
            return;
        }
        mNextNotice = now.plus(PERIOD);
        List<EndpointLoad> loads = mTracker.loads(now);
        if (!loads.isEmpty()) {
            daemons.forEach(daemon -> mNotifier.notifyEndpointLoads(daemon, loads));
        }
    }
}
