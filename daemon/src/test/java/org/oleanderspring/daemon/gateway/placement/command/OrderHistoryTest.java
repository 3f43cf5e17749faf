package org.oleanderspring.daemon.gateway.placement.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.residency.ResidencyOrder;
import org.oleanderspring.core.residency.ResidencyOrderKind;
import org.oleanderspring.core.residency.ResidencyOrderReply;
import org.oleanderspring.core.residency.command.ResidencyEvent;

/**
 * Guards against orders from two daemons to one runner within the pause when the holder of the
 * placement lease changes.
 */
class OrderHistoryTest {
    private static final Duration PAUSE = Duration.ofSeconds(3);
    private static final Instant START = Instant.EPOCH.plusSeconds(100);
    private static final EndpointId BUSY = new EndpointId("busy");

    private final OrderHistory mHistory = new OrderHistory(PAUSE);

    private static Instant at(long millis) {
        return START.plusMillis(millis);
    }

    private void order(EndpointId runner, long number, long millis) {
        mHistory.orderSent(
                new ResidencyOrder(
                        number,
                        runner,
                        ResidencyOrderKind.LOAD,
                        new ModelReference(new ModelName("m"), null),
                        0,
                        new FencingToken(1)),
                at(millis));
    }

    private void reply(long number, ResidencyOrderReply reply, long millis) {
        mHistory.orderReplied(new ResidencyEvent.OrderReplied(BUSY, number, reply), at(millis));
    }

    /** Without a handover, the previous holder may have sent orders until its lease ended. */
    @Test
    void missingHandoverDelaysAllRunners() {
        mHistory.begin(null, at(-800), at(0));
        assertThat(mHistory.ordersFrom(at(0)), equalTo(at(2_200)));
    }

    /** With a handover, only orders to the runners of recent orders are delayed. */
    @Test
    void handoverDelaysRecentlyOrderedRunnersOnly() {
        mHistory.begin(null, at(-3_000), at(0));
        order(BUSY, 1, 100);
        reply(1, ResidencyOrderReply.ACCEPTED, 150);
        String handover = mHistory.handover(at(1_100)).orElseThrow();

        OrderHistory next = new OrderHistory(PAUSE);
        next.begin(handover, at(1_200), at(1_200));
        assertThat(next.ordersFrom(at(1_200)), equalTo(at(1_200)));
        assertThat(next.deferredRunners(at(1_200)), equalTo(Map.of(BUSY, at(3_200))));
    }

    /**
     * Daemons that stop one after the other release the placement lease before their own pause is
     * over. The pause must count from the last order, not from each change of the holder.
     */
    @Test
    void pauseCountsFromTheLastOrderOverSeveralHolders() {
        mHistory.begin(null, at(0), at(100));
        String handover = mHistory.handover(at(2_000)).orElseThrow();
        OrderHistory second = new OrderHistory(PAUSE);
        second.begin(handover, at(2_100), at(2_100));
        assertThat(second.ordersFrom(at(2_100)), equalTo(at(3_100)));
        OrderHistory third = new OrderHistory(PAUSE);
        third.begin(second.handover(at(2_500)).orElseThrow(), at(2_500), at(2_500));
        assertThat(third.ordersFrom(at(2_500)), equalTo(at(3_100)));
    }

    /** There must be no handover while an order may still arrive at its runner. */
    @Test
    void noHandoverWhileOrdersMayStillArrive() {
        mHistory.begin(null, at(-3_000), at(0));
        order(BUSY, 1, 100);
        assertThat(mHistory.handover(at(200)), is(Optional.empty()));
        reply(1, ResidencyOrderReply.UNKNOWN, 300);
        assertThat(mHistory.handover(at(400)), is(Optional.empty()));
        assertThat(mHistory.handover(at(3_300)).isPresent(), is(true));
    }

    /** A malformed handover must be treated as a missing one. */
    @ParameterizedTest
    @ValueSource(strings = {"", "x", "100\nbusy", "100\nx busy"})
    void malformedHandoverDelaysAllRunners(String handover) {
        mHistory.begin(handover, at(0), at(0));
        assertThat(mHistory.ordersFrom(at(0)), equalTo(at(3_000)));
        assertThat(mHistory.deferredRunners(at(0)), is(anEmptyMap()));
    }
}
