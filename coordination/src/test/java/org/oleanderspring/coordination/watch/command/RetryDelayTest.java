package org.oleanderspring.coordination.watch.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RetryDelayTest {
    private static final Duration OUTAGE = Duration.ofSeconds(9);
    private static final int MOST_CALLS = 14;

    private static final Duration LONGEST = Duration.ofMillis(1_200);

    private final RetryDelay mDelay = new RetryDelay(LONGEST, new SplittableRandom(7));

    /** Guards against a call from each daemon every 200 ms while the key-value service is down. */
    @Test
    void outageCostsFewCalls() {
        Duration elapsed = Duration.ZERO;
        int calls = 0;
        while (elapsed.compareTo(OUTAGE) < 0) {
            elapsed = elapsed.plus(mDelay.next());
            calls++;
        }
        assertThat(calls, lessThanOrEqualTo(MOST_CALLS));
    }

    /** Guards against a watch that is noticed to work again long after the outage ended. */
    @Test
    void delaysStayWithinTheirBounds() {
        for (int call = 0; call < 50; call++) {
            Duration delay = mDelay.next();
            assertThat(delay, lessThanOrEqualTo(LONGEST));
            assertThat(delay, greaterThanOrEqualTo(Duration.ofMillis(100)));
        }
        mDelay.reset();
        assertThat(mDelay.next(), lessThanOrEqualTo(RetryDelay.FIRST));
    }
}
