package org.oleanderspring.daemon.gateway.permit.command;

import java.time.Instant;
import org.oleanderspring.core.permit.PermitGrant;
import org.oleanderspring.core.permit.command.PermitIssuer;
import org.oleanderspring.daemon.gateway.GatewayMember;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.duty.command.EventHandler;

/**
 * Issues permits for requests to the runners for which this daemon is asked. All state belongs to
 * the duty's thread.
 */
public final class PermitDuty implements EventHandler<PermitInput> {
    private final PermitIssuer mIssuer = new PermitIssuer();
    private final PermitGrantNotifier mNotifier;
    private final MonotonicClock mClock;

    /**
     * Creates the duty.
     *
     * @param notifier sends the permits
     * @param clock gives the time of each event
     */
    public PermitDuty(PermitGrantNotifier notifier, MonotonicClock clock) {
        mNotifier = notifier;
        mClock = clock;
    }

    @Override
    public void handle(PermitInput input) {
        if (input instanceof PermitInput.Requested requested) {
            Instant now = mClock.now();
            mIssuer.expire(now);
            PermitGrant grant = mIssuer.issue(requested.request(), now);
            GatewayMember.parse(requested.daemon())
                    .ifPresent(member -> mNotifier.sendPermits(member, grant));
        }
    }
}
