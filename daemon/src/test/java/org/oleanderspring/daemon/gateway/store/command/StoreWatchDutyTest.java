package org.oleanderspring.daemon.gateway.store.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import com.codahale.metrics.MetricRegistry;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.query.PrefixListener;
import org.oleanderspring.coordination.store.query.StoreChange;
import org.oleanderspring.coordination.watch.WatchOptions;
import org.oleanderspring.coordination.watch.command.DefaultWatchDecider;
import org.oleanderspring.coordination.watch.command.WatchEvent;
import org.oleanderspring.daemon.process.SuspendAwareClock;
import org.oleanderspring.duty.command.DutyThread;
import org.oleanderspring.duty.command.DutyTimer;
import org.oleanderspring.platform.hosted.query.HostedKeyValueQueries;
import org.oleanderspring.platform.http.HttpCallSender;
import org.oleanderspring.platform.http.HttpClientOptions;
import org.oleanderspring.platform.http.SharedHttpClient;
import org.oleanderspring.standin.hosted.HostedStoreStandin;

/**
 * Guards the pause of a watch: a daemon that needs no current data must not make a call for each
 * write of a runner, and must receive all changes as soon as the pause ends.
 */
class StoreWatchDutyTest {
    private static final String IP = "127.0.0.1";
    private static final Duration CALL_TIME_LIMIT = Duration.ofSeconds(5);
    private static final Duration SETTLE_LIMIT = Duration.ofSeconds(3);
    private static final StoreKey PREFIX = new StoreKey("/servers/");
    private static final Duration LONG_PAUSE = Duration.ofMinutes(1);
    private static final long NO_CHANGE_MILLIS = 400;
    private static final long WAIT_SECONDS = 10;

    private final HostedStoreStandin mStore = new HostedStoreStandin(IP, 0);
    private final SharedHttpClient mClient = new SharedHttpClient(HttpClientOptions.DEFAULT);
    private final BlockingQueue<String> mListenerCalls = new LinkedBlockingQueue<>();
    private final DutyThread<WatchEvent> mRing = new DutyThread<>("store-watch", 64);
    private final DutyTimer mTimer = new DutyTimer();

    private final class Listener implements PrefixListener {
        @Override
        public void listed(List<StoredValue> values) {
            mListenerCalls.add("listed " + values.size());
        }

        @Override
        public void changed(List<StoreChange> changes) {
            mListenerCalls.add("changed " + changes.size());
        }

        @Override
        public void restored(StoreEra era) {
            mListenerCalls.add("restored " + era);
        }

        @Override
        public void interrupted(String reason) {
            mListenerCalls.add("interrupted " + reason);
        }

        @Override
        public void resumed(Duration outdatedFor) {
            mListenerCalls.add("resumed");
        }
    }

    @BeforeEach
    void startWatchAndReceiveOneChange() throws InterruptedException {
        HostedKeyValueQueries queries =
                new HostedKeyValueQueries(
                        new HttpCallSender(mClient, 8),
                        new Address(IP, mStore.port()),
                        CALL_TIME_LIMIT);
        mRing.start(
                new StoreWatchDuty(
                        new DefaultWatchDecider(
                                new WatchOptions(SETTLE_LIMIT, CALL_TIME_LIMIT, 2_000),
                                new SplittableRandom(1)),
                        queries,
                        Map.of(PREFIX, new Listener()),
                        new StoreWatchMeters(new MetricRegistry(), Map.of()),
                        new SuspendAwareClock(Clock.systemUTC()),
                        mTimer,
                        mRing));
        mRing.offer(new WatchEvent.PrefixFollowed(PREFIX));
        setPause(LONG_PAUSE);
        assertThat(next(), equalTo("listed 0"));
        mStore.put("servers/a", "1");
        assertThat(next(), equalTo("changed 1"));
    }

    @AfterEach
    void close() {
        mTimer.close();
        mRing.close();
        mClient.close();
        mStore.close();
    }

    private void setPause(Duration pause) {
        mRing.offer(new WatchEvent.PauseChanged(PREFIX, pause));
    }

    private String next() throws InterruptedException {
        return mListenerCalls.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private void writeDuringPause() throws InterruptedException {
        mStore.put("servers/a", "2");
        mStore.put("servers/b", "1");
        assertThat(mListenerCalls.poll(NO_CHANGE_MILLIS, TimeUnit.MILLISECONDS), nullValue());
    }

    /** Changes during the pause must be fetched by one call when {@code setPause} ends it. */
    @Test
    void changesOfAPauseAreReportedTogetherAtItsEnd() throws InterruptedException {
        writeDuringPause();
        setPause(LONG_PAUSE);
        assertThat(next(), equalTo("changed 2"));
    }

    /** A shorter pause must take effect immediately instead of after the present long one. */
    @Test
    void shorterPauseTakesEffectImmediately() throws InterruptedException {
        writeDuringPause();
        setPause(Duration.ofMillis(10));
        assertThat(next(), equalTo("changed 2"));
        mStore.put("servers/c", "1");
        assertThat(next(), equalTo("changed 1"));
    }

    /** Setting the pause while none is running must not start a second sequence of calls. */
    @Test
    void repeatedPausesDoNotRepeatChanges() throws InterruptedException {
        writeDuringPause();
        setPause(LONG_PAUSE);
        setPause(LONG_PAUSE);
        setPause(LONG_PAUSE);
        assertThat(next(), equalTo("changed 2"));
        assertThat(mListenerCalls.poll(NO_CHANGE_MILLIS, TimeUnit.MILLISECONDS), nullValue());
    }

    /**
     * Guards against a watch that goes on after a revision that the service gives out again, when
     * the service has come back from a copy.
     */
    @Test
    void restoredServiceIsListedAgain() throws InterruptedException {
        mStore.nameEras();
        setPause(Duration.ofMillis(10));
        mStore.put("servers/b", "1");
        awaitCalls("restored 1", "listed 2");
        mStore.restore(Duration.ofHours(1), 1);
        awaitCalls("restored 2", "listed 2");
        mStore.put("servers/c", "1");
        awaitCalls("changed 1");
    }

    /** Waits for calls in this order; others may come between them. */
    private void awaitCalls(String... calls) throws InterruptedException {
        for (String call : calls) {
            String next = next();
            while (!call.equals(next)) {
                assertThat("awaited: " + call, next, notNullValue());
                next = next();
            }
        }
    }
}
