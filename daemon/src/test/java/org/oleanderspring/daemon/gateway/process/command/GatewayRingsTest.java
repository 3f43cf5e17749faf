package org.oleanderspring.daemon.gateway.process.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.residency.command.ResidencyEvent;
import org.oleanderspring.daemon.gateway.placement.command.ResidencyInput;
import org.oleanderspring.duty.command.OfferResult;

class GatewayRingsTest {
    /**
     * Guards against messages of other daemons that fill the placement ring, so that the reply to a
     * renewal of the lease or to an order is lost.
     */
    @Test
    void demandOfOtherDaemonsLeavesRoomForReplies() {
        GatewayRings rings = new GatewayRings();
        long capacity = rings.placement().capacity();
        ResidencyEvent demand =
                new ResidencyEvent.DemandReported(
                        new MemberId("vm-2"), new ServiceName("engine"), List.of());
        for (long message = 0; message < 2 * capacity; message++) {
            rings.offerDemand(demand);
        }
        assertThat(
                rings.placementSink().offer(new ResidencyInput.TimerFired()),
                is(OfferResult.ACCEPTED));
        rings.routing().start(event -> {});
        rings.placement().start(event -> {});
        rings.close();
    }
}
