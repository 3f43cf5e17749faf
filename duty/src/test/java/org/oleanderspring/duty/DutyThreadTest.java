package org.oleanderspring.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.oleanderspring.duty.command.DutyThread;
import org.oleanderspring.duty.command.OfferResult;

class DutyThreadTest {
    /** Guards against an offer that blocks or silently loses an event when the ring is full. */
    @Test
    void fullRingRefusesTheOffer() throws InterruptedException {
        CountDownLatch entered = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        DutyThread<Integer> duty = new DutyThread<>("full", 2);
        duty.start(
                event -> {
                    entered.countDown();
                    awaitQuietly(release);
                });
        assertThat(duty.offer(1), is(OfferResult.ACCEPTED));
        entered.await();
        assertThat(duty.offer(2), is(OfferResult.ACCEPTED));
        assertThat(duty.offer(3), is(OfferResult.FULL));
        assertThat(duty.rejectedOffers(), is(1L));
        release.countDown();
        duty.close();
    }

    /** Guards against losing accepted events on a planned stop. */
    @Test
    void closeHandlesAcceptedEventsInOrder() {
        List<Integer> seen = new CopyOnWriteArrayList<>();
        DutyThread<Integer> duty = new DutyThread<>("close", 8);
        duty.start(seen::add);
        duty.offer(1);
        duty.offer(2);
        duty.offer(3);
        duty.close();
        assertThat(seen, contains(1, 2, 3));
        assertThat(duty.offer(4), is(OfferResult.STOPPED));
    }

    /** Guards against a duty that dies because one event's handler threw. */
    @Test
    void faultInHandlerDoesNotEndTheDuty() {
        List<Integer> seen = new CopyOnWriteArrayList<>();
        DutyThread<Integer> duty = new DutyThread<>("fault", 8);
        duty.start(
                event -> {
                    if (event == 1) {
                        throw new IllegalStateException("expected by the test");
                    }
                    seen.add(event);
                });
        duty.offer(1);
        duty.offer(2);
        duty.close();
        assertThat(seen, contains(2));
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
