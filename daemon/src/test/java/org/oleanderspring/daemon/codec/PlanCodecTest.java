package org.oleanderspring.daemon.codec;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.CheckpointLocation;
import org.oleanderspring.core.fleet.EndpointId;
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

class PlanCodecTest {
    private static final MemberId MEMBER = new MemberId("member-1");

    /** Guards against fields of a plan that are lost in encoding or decoding. */
    @Test
    void planSurvivesEncoding() {
        Plan plan =
                new Plan(
                        new CellName("assistant"),
                        7,
                        new FencingToken(3),
                        MEMBER,
                        new PlanWriteId(MEMBER, 12),
                        List.of(slot("headgate", null), slot("headgate-spring", "headgate")));
        DecodedDocument<Plan> decoded = PlanCodec.decode(PlanCodec.encode(plan));
        assertThat(decoded, is(new DecodedDocument.Valid<>(plan)));
    }

    /**
     * Guards against malformed content that is decoded as an empty plan, which would release the
     * memory charged to all slots.
     */
    @Test
    void malformedContentIsReported() {
        for (String malformed : List.of("", "null", "{}", "[]", "{\"cell\":\"a\",\"number\":0}")) {
            assertThat(
                    malformed,
                    PlanCodec.decode(malformed.getBytes(StandardCharsets.UTF_8)),
                    instanceOf(DecodedDocument.Malformed.class));
        }
    }

    private static Slot slot(String name, @org.jspecify.annotations.Nullable String base) {
        ModelName model = new ModelName(name);
        return new Slot(
                new SlotKey(new EndpointId("runner-1"), model),
                new Checkpoint(model, base == null ? null : new ModelName(base), "v1", 500),
                new VmId("vm-1"),
                SlotState.LOADING,
                Instant.parse("2026-12-04T08:00:00.123456789Z"),
                new SlotOrder(
                        new OrderId("assistant/3/1"),
                        new FencingToken(3),
                        new OrderSender(MEMBER, new VmId("vm-9"))),
                CheckpointLocation.DISK,
                SlotReason.WAKE);
    }
}
