package org.oleanderspring.core.placement.query;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.CheckpointLocation;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointKind;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.VmId;
import org.oleanderspring.core.placement.OrderId;
import org.oleanderspring.core.placement.OrderSender;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.PlanWriteId;
import org.oleanderspring.core.placement.Slot;
import org.oleanderspring.core.placement.SlotKey;
import org.oleanderspring.core.placement.SlotOrder;
import org.oleanderspring.core.placement.SlotReason;
import org.oleanderspring.core.placement.SlotState;

/**
 * Guards against routers using slots that cannot serve calls ({@link PlacedReplicas}), and against
 * reservations that are missing in the status output ({@link PlanView}). A slot in any state is
 * charged: it reserves a replica and its memory. An unsettled slot had its last order in an earlier
 * term, with an unknown outcome.
 */
class PlacedReplicasAndPlanViewTest {
    private static final CellName CELL = new CellName("cell");
    private static final MemberId MEMBER = new MemberId("d1");
    private static final VmId VM = new VmId("vm");

    private static Slot slot(SlotState state) {
        Checkpoint checkpoint = new Checkpoint(new ModelName("m-" + state), null, "1", 10);
        OrderSender sender = new OrderSender(MEMBER, VM);
        return new Slot(
                new SlotKey(new EndpointId("r"), checkpoint.name()),
                checkpoint,
                VM,
                state,
                Instant.EPOCH,
                new SlotOrder(new OrderId("o-" + state), new FencingToken(1), sender),
                CheckpointLocation.REMOTE,
                SlotReason.WAKE);
    }

    private static Plan planOfAllStates() {
        List<Slot> slots =
                Stream.of(SlotState.values()).map(PlacedReplicasAndPlanViewTest::slot).toList();
        PlanWriteId mark = new PlanWriteId(MEMBER, 1);
        return new Plan(CELL, 1, new FencingToken(2), MEMBER, mark, slots);
    }

    @Test
    void onlyReadyAndDrainingSlotsOfKnownEndpointsAreReplicas() {
        Address address = new Address("127.0.0.1", 1);
        EndpointKind kind = EndpointKind.RUNNER;
        Endpoint runner = new Endpoint(new EndpointId("r"), VM, address, kind, CELL, null, true);
        List<PlacedReplica> replicas = PlacedReplicas.of(planOfAllStates(), List.of(runner));
        assertThat(
                replicas,
                contains(
                        new PlacedReplica(new ModelName("m-READY"), runner, false),
                        new PlacedReplica(new ModelName("m-DRAINING"), runner, true)));
        assertThat(PlacedReplicas.of(planOfAllStates(), List.of()), empty());
    }

    @Test
    void allStatesAreChargedAndUnsettledOnesAreListed() {
        PlanView view = PlanView.of(planOfAllStates());
        assertThat(view.chargedMegabytes().get("vm"), is(10L * SlotState.values().length));
        assertThat(view.chargedReplicas().size(), is(SlotState.values().length));
        assertThat(
                view.unsettled().stream().map(Slot::state).toList(),
                contains(SlotState.UNSETTLED_LOAD, SlotState.UNSETTLED_UNLOAD));
    }
}
