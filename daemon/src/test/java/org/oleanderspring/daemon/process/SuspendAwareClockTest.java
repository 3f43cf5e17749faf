package org.oleanderspring.daemon.process;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import org.junit.jupiter.api.Test;

class SuspendAwareClockTest {
    private Instant mWall = Instant.EPOCH;
    private long mNanos;
    private final SuspendAwareClock mClock = new SuspendAwareClock(new TestWall(), () -> mNanos);

    private void pass(Duration steady, Duration step) {
        mNanos += steady.toNanos();
        mWall = mWall.plus(steady).plus(step);
    }

    /**
     * Guards against a lease that looks lapsed for good after the time of day jumped and returned.
     */
    @Test
    void jumpAndReturnCountOnce() {
        pass(Duration.ofSeconds(1), Duration.ofSeconds(2));
        assertThat(mClock.now(), is(Instant.EPOCH.plusSeconds(3)));
        pass(Duration.ofSeconds(1), Duration.ofSeconds(-2));
        assertThat(mClock.now(), is(Instant.EPOCH.plusSeconds(4)));
        pass(Duration.ofSeconds(10), Duration.ZERO);
        assertThat(mClock.now(), is(Instant.EPOCH.plusSeconds(14)));
        assertThat(mClock.excess(), is(Duration.ofSeconds(2)));
    }

    /** Guards against a lease that lasts longer because the time of day was set back. */
    @Test
    void stepBackDoesNotSlowTheClock() {
        pass(Duration.ofSeconds(1), Duration.ofSeconds(-5));
        assertThat(mClock.now(), is(Instant.EPOCH.plusSeconds(1)));
        assertThat(mClock.excess(), is(Duration.ZERO));
    }

    private final class TestWall extends Clock {
        @Override
        public ZoneId getZone() {
            return ZoneOffset.UTC;
        }

        @Override
        public Clock withZone(ZoneId zone) {
            return this;
        }

        @Override
        public Instant instant() {
            return mWall;
        }
    }
}
