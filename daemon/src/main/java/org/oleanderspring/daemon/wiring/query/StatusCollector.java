package org.oleanderspring.daemon.wiring.query;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.dispatch.query.PartitionStatus;
import org.oleanderspring.coordination.lease.query.LeaseStatus;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.Slot;
import org.oleanderspring.core.placement.query.PlanView;
import org.oleanderspring.daemon.dispatch.command.DispatchInput;
import org.oleanderspring.daemon.document.command.DocumentInput;
import org.oleanderspring.daemon.document.query.DocumentStatus;
import org.oleanderspring.daemon.lease.command.LeaseInput;
import org.oleanderspring.daemon.membership.command.MembershipInput;
import org.oleanderspring.daemon.placement.command.PlacementInput;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.daemon.wiring.command.Rings;

/** Collects the status of a daemon from its duties, as JSON for operators. */
public final class StatusCollector {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final MemberId mSelf;
    private final Rings mRings;
    private final MonotonicClock mClock;

    /**
     * Creates a collector; each call of {@link #collect} queries the duties again.
     *
     * @param self the identity of this daemon
     * @param rings the rings of the duties
     * @param clock the clock of the authority to decide
     */
    public StatusCollector(MemberId self, Rings rings, MonotonicClock clock) {
        mSelf = self;
        mRings = rings;
        mClock = clock;
    }

    /** Returns the status as one JSON document; fails if one of the duties refuses its query. */
    public CompletableFuture<ObjectNode> collect() {
        CompletableFuture<DocumentStatus> documents =
                RingQueries.query(mRings.documentThread(), DocumentInput.StatusRequested::new);
        CompletableFuture<List<Member>> members =
                RingQueries.query(mRings.membershipThread(), MembershipInput.MembersRequested::new);
        CompletableFuture<List<Plan>> plans =
                RingQueries.query(mRings.placementThread(), PlacementInput.PlansRequested::new);
        CompletableFuture<List<LeaseStatus>> leases =
                RingQueries.query(mRings.leaseThread(), LeaseInput.LeasesRequested::new);
        CompletableFuture<List<PartitionStatus>> partitions =
                RingQueries.query(mRings.dispatchThread(), DispatchInput.PartitionsRequested::new);
        return CompletableFuture.allOf(documents, members, plans, leases, partitions)
                .thenApply(
                        done -> {
                            ObjectNode root = MAPPER.createObjectNode();
                            root.put("daemon", mSelf.value());
                            addSettings(root, documents.join());
                            addMembers(root, members.join(), documents.join());
                            addLeases(root, leases.join());
                            addPartitions(root, partitions.join());
                            addPlans(root, plans.join());
                            return root;
                        });
    }

    private void addSettings(ObjectNode root, DocumentStatus status) {
        ObjectNode settings = root.putObject("settings");
        settings.put("number", status.settingsNumber());
        Instant end = status.authorityEnd();
        settings.put("mayDecide", end != null && mClock.now().isBefore(end));
    }

    private void addMembers(ObjectNode root, List<Member> members, DocumentStatus status) {
        ArrayNode nodes = root.putArray("members");
        for (Member member : members) {
            ObjectNode node = nodes.addObject();
            node.put("id", member.id().value());
            node.put("peerAddress", member.peerAddress().toString());
            node.put("callerAddress", member.callerAddress().toString());
            node.put("failureDomain", member.failureDomain());
            node.put("state", member.state().name());
            Long number =
                    member.id().equals(mSelf)
                            ? Long.valueOf(status.settingsNumber())
                            : status.settingsNumbersByPeer().get(member.peerAddress());
            node.put("settingsNumber", number);
        }
    }

    private static void addLeases(ObjectNode root, List<LeaseStatus> leases) {
        ArrayNode nodes = root.putArray("leases");
        for (LeaseStatus lease : leases) {
            ObjectNode node = nodes.addObject();
            node.put("cell", lease.name().value());
            node.put("held", lease.held());
            node.put("rank", lease.rank());
        }
    }

    private static void addPartitions(ObjectNode root, List<PartitionStatus> partitions) {
        ArrayNode nodes = root.putArray("partitions");
        for (PartitionStatus partition : partitions) {
            ObjectNode node = nodes.addObject();
            node.put("partition", partition.partition().value());
            node.put("phase", partition.phase().name());
            node.put("term", partition.term().value());
            node.put("records", partition.records());
            node.put("waitingClaims", partition.waitingClaims());
        }
    }

    private static void addPlans(ObjectNode root, List<Plan> plans) {
        ArrayNode nodes = root.putArray("cells");
        for (Plan plan : plans) {
            PlanView view = PlanView.of(plan);
            ObjectNode node = nodes.addObject();
            node.put("cell", plan.cell().value());
            node.put("holder", view.holder());
            node.put("term", plan.term().value());
            node.put("planNumber", view.number());
            ObjectNode memory = node.putObject("chargedMegabytes");
            view.chargedMegabytes().forEach(memory::put);
            ArrayNode slots = node.putArray("slots");
            view.slots().forEach(slot -> addSlot(slots, slot));
        }
    }

    private static void addSlot(ArrayNode slots, Slot slot) {
        ObjectNode node = slots.addObject();
        node.put("model", slot.key().name().value());
        node.put("endpoint", slot.key().runner().value());
        node.put("state", slot.state().name());
        node.put("memoryMegabytes", slot.memoryMegabytes());
        node.put("reason", slot.reason().name());
        node.put("order", slot.order().id().value());
        node.put("term", slot.order().term().value());
        node.put("since", slot.since().toString());
    }
}
