package org.oleanderspring.daemon.gateway.routing.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;

import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are sent to a runner after their caller has disconnected. On a
 * saturated daemon the event of the disconnection waits in the ring for seconds.
 */
class LeftCallerTest {
    private final RoutingDutyFixture mFixture = new RoutingDutyFixture();

    @Test
    void waitingRequestIsNotSentWhileTheDisconnectionStillWaitsInTheRing() {
        AtomicBoolean disconnected = new AtomicBoolean();
        mFixture.request(1, disconnected::get);
        mFixture.request(2, () -> false);
        disconnected.set(true);
        mFixture.stateLoaded();
        assertThat(
                mFixture.mSent.stream().map(call -> call.attemptName()).toList(),
                contains("attempt-2"));
        assertThat(mFixture.mAnswers, contains("1 abandoned"));
    }

    @Test
    void requestOfACallerThatLeftBeforeItWasHandledIsNotSent() {
        mFixture.stateLoaded();
        mFixture.request(1, () -> true);
        assertThat(mFixture.mSent, empty());
        assertThat(mFixture.mAnswers, contains("1 abandoned"));
    }

    @Test
    void requestOfAPresentCallerIsSent() {
        mFixture.request(1, () -> false);
        mFixture.stateLoaded();
        assertThat(mFixture.mSent, hasSize(1));
    }
}
