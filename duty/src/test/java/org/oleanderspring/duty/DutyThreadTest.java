package org.oleanderspring.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.oleanderspring.duty.command.DutyThread;
import org.oleanderspring.duty.command.OfferResult;

class DutyThreadTest {
    /** Guards against an offer that blocks or silently drops its event when the ring is full. */
    @Test
    void offerToFullRingIsRejected() throws InterruptedException {
        CountDownLatch entered = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        DutyThread<Integer> duty = new DutyThread<>("full", 2);
        duty.start(
                event -> {
                    entered.countDown();
                    awaitUntilInterrupted(release);
                });
        assertThat(duty.offer(1), is(OfferResult.ACCEPTED));
        entered.await();
        assertThat(duty.offer(2), is(OfferResult.ACCEPTED));
        assertThat(duty.offer(3), is(OfferResult.FULL));
        assertThat(duty.rejectedOffers(), is(1L));
        release.countDown();
        duty.close();
    }

    /** Guards against events that are skipped because they were offered before the start. */
    @Test
    void eventsOfferedBeforeTheStartAreHandled() {
        List<Integer> seen = new CopyOnWriteArrayList<>();
        DutyThread<Integer> duty = new DutyThread<>("before-start", 8);
        duty.offer(1);
        duty.offer(2);
        duty.start(seen::add);
        duty.close();
        assertThat(seen, contains(1, 2));
    }

    /** Guards against a wait that excludes the time before the event was taken. */
    @Test
    void waitOfAnEventIsMeasured() throws InterruptedException {
        List<Duration> waits = new CopyOnWriteArrayList<>();
        DutyThread<Integer> duty = new DutyThread<>("wait", 2);
        duty.offer(1);
        Thread.sleep(20);
        duty.start(event -> waits.add(duty.lastWait()));
        duty.close();
        assertThat(waits.get(0), greaterThanOrEqualTo(Duration.ofMillis(20)));
    }

    /** Guards against close() dropping events that the ring accepted before it. */
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

    /** Guards against a process that does not exit because a duty of it was never started. */
    @Test
    @Timeout(20)
    void closeOfAnUnstartedDutyDoesNotWait() {
        DutyThread<Integer> duty = new DutyThread<>("unstarted", 8);
        duty.offer(1);
        duty.close();
        assertThat(duty.offer(2), is(OfferResult.STOPPED));
    }

    /** Guards against a thread that ends because the handler threw on one event. */
    @Test
    void exceptionInHandlerDoesNotEndTheThread() {
        List<Integer> seen = new CopyOnWriteArrayList<>();
        DutyThread<Integer> duty = new DutyThread<>("exception", 8);
        duty.start(
                event -> {
                    if (event == 1) {
                        throw new IllegalStateException("thrown by the test");
                    }
                    seen.add(event);
                });
        duty.offer(1);
        duty.offer(2);
        duty.close();
        assertThat(seen, contains(2));
    }

    private static void awaitUntilInterrupted(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
