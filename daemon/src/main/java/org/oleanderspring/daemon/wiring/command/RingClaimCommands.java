package org.oleanderspring.daemon.wiring.command;

import java.time.Instant;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.coordination.dispatch.command.ClaimResult;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.command.RoutingEvent;
import org.oleanderspring.daemon.dispatch.command.DispatchInput;
import org.oleanderspring.daemon.routing.command.ClaimCommands;
import org.oleanderspring.daemon.routing.command.RoutingInput;
import org.oleanderspring.duty.command.OfferResult;

/**
 * Forwards claims and outcomes from the routing duty to the ring of the dispatch duty.
 *
 * <p>A claim that the ring refuses is answered as unavailable, since the call waits for a result.
 * An outcome is offered again instead.
 */
public final class RingClaimCommands implements ClaimCommands {
    private final Rings mRings;

    /**
     * Creates commands that never block.
     *
     * @param rings the rings of the duties
     */
    public RingClaimCommands(Rings rings) {
        mRings = rings;
    }

    @Override
    public void claim(CallId call, IdempotencyKey key, Instant deadline) {
        OfferResult result =
                mRings.dispatchThread()
                        .offer(new DispatchInput.LocalClaimRequested(call, key, deadline));
        if (result != OfferResult.ACCEPTED) {
            mRings.routing()
                    .offer(
                            new RoutingInput.Event(
                                    new RoutingEvent.DispatchRecorded(
                                            call,
                                            new ClaimResult.Unavailable(
                                                    "the ring of the dispatch duty is full"))));
        }
    }

    @Override
    public void recordOutcome(IdempotencyKey key, RecordState state) {
        mRings.dispatch().offer(new DispatchInput.OutcomeReported(key, state));
    }
}
