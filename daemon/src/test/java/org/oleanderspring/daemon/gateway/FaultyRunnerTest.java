package org.oleanderspring.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.oleanderspring.standin.hosted.EndlessAnswer;

/** Two runners of one service send bytes without end to a daemon of the usual size. */
@Timeout(120)
class FaultyRunnerTest {
    private static final int STREAM_CLIENTS = 16;

    /** Both faulty runners answer by then, if requests are spread over all eight. */
    private static final int FAULTY_ANSWERS = 4;

    private static final int ORDERS = 100;

    /**
     * Guards against a daemon that gives all its time or memory to the bytes of a faulty runner, so
     * that the requests of other clients get no answer.
     */
    @ParameterizedTest
    @EnumSource
    void otherServicesAreServed(EndlessAnswer answer) throws Exception {
        try (FaultyRunnerScene scene = new FaultyRunnerScene(answer)) {
            List<Thread> clients = new ArrayList<>();
            for (int client = 0; client < STREAM_CLIENTS; client++) {
                Thread thread = new Thread(() -> askUntilInterrupted(scene));
                thread.setDaemon(true);
                thread.start();
                clients.add(thread);
            }
            GatewayFixture.await(
                    "the faulty runners are asked", () -> scene.faultyAnswers() >= FAULTY_ANSWERS);
            List<Integer> statuses = new ArrayList<>();
            for (int order = 0; order < ORDERS; order++) {
                statuses.add(scene.order());
            }
            clients.forEach(Thread::interrupt);
            assertThat(statuses, is(Collections.nCopies(ORDERS, 200)));
            assertThat(scene.faultyAnswers(), is(greaterThanOrEqualTo((long) FAULTY_ANSWERS)));
            assertThat(scene.logText(), not(containsString("OutOfMemoryError")));
            assertThat(scene.isDaemonAlive(), is(true));
        }
    }

    private static void askUntilInterrupted(FaultyRunnerScene scene) {
        while (!Thread.currentThread().isInterrupted()) {
            scene.stream();
        }
    }
}
