package org.oleanderspring.duty;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.oleanderspring.duty.command.DutyThread;
import org.oleanderspring.duty.command.DutyTimer;
import org.oleanderspring.duty.command.EventSink;
import org.oleanderspring.duty.command.OfferResult;
import org.oleanderspring.duty.command.ReservingSink;
import org.oleanderspring.duty.command.RetryingSink;

class SinksTest {
    /** Guards against events that overtake an earlier one for which the ring had no room. */
    @Test
    void retriedEventsKeepTheirOrder() throws InterruptedException {
        List<Integer> seen = new CopyOnWriteArrayList<>();
        CountDownLatch done = new CountDownLatch(2);
        AtomicBoolean full = new AtomicBoolean(true);
        EventSink<Integer> ring =
                event -> {
                    if (full.get()) {
                        return OfferResult.FULL;
                    }
                    seen.add(event);
                    done.countDown();
                    return OfferResult.ACCEPTED;
                };
        try (DutyTimer timer = new DutyTimer()) {
            RetryingSink<Integer> sink = new RetryingSink<>(ring, timer);
            sink.offer(1);
            full.set(false);
            sink.offer(2);
            done.await();
        }
        assertThat(seen, contains(1, 2));
    }

    /** Guards against repeated messages that leave no room in the ring for replies. */
    @Test
    void reservedEntriesStayFree() {
        DutyThread<Integer> duty = new DutyThread<>("reserve", 4);
        ReservingSink<Integer> messages = new ReservingSink<>(duty, duty, 2);
        assertThat(messages.offer(1), is(OfferResult.ACCEPTED));
        assertThat(messages.offer(2), is(OfferResult.ACCEPTED));
        assertThat(messages.offer(3), is(OfferResult.FULL));
        assertThat(duty.offer(4), is(OfferResult.ACCEPTED));
        assertThat(duty.offer(5), is(OfferResult.ACCEPTED));
        duty.start(event -> {});
        duty.close();
    }
}
