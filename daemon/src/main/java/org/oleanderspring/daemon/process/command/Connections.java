package org.oleanderspring.daemon.process.command;

import com.codahale.metrics.MetricRegistry;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.daemon.peering.command.DetachedPeers;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.daemon.process.PlatformPorts;
import org.oleanderspring.daemon.process.ProcessSettings;
import org.oleanderspring.daemon.wiring.command.DutyStarter;
import org.oleanderspring.daemon.wiring.command.Rings;
import org.oleanderspring.platform.command.HttpEndpointCommands;
import org.oleanderspring.platform.command.HttpKeyValueCommands;
import org.oleanderspring.platform.command.HttpRunnerCommands;
import org.oleanderspring.platform.http.HttpCalls;
import org.oleanderspring.platform.http.HttpClientOptions;
import org.oleanderspring.platform.http.SharedHttpClient;
import org.oleanderspring.platform.query.HttpKeyValueQueries;
import org.oleanderspring.platform.query.HttpRunnerQueries;
import org.oleanderspring.platform.query.HttpVmListQueries;
import org.oleanderspring.platform.query.HttpWeightStoreQueries;

/** The outgoing connections of a daemon, with the duties that use them. */
final class Connections implements AutoCloseable {
    private static final int CONCURRENT_CALLS = 512;
    private static final Duration STORE_LIMIT = Duration.ofSeconds(1);
    private static final Duration LIST_LIMIT = Duration.ofSeconds(2);
    private static final Duration RUNNER_LIMIT = Duration.ofSeconds(2);

    /** After this silence a watch is opened anew; the service sends progress more often. */
    private static final Duration WATCH_SILENCE = Duration.ofSeconds(30);

    /** How long an endpoint may send nothing within an answer that has begun. */
    private static final Duration ANSWER_SILENCE = Duration.ofSeconds(60);

    private final SharedHttpClient mClient;

    private Connections(SharedHttpClient client) {
        mClient = client;
    }

    static Connections open(
            ProcessSettings settings, Rings rings, MetricRegistry metrics, MonotonicClock clock) {
        SharedHttpClient client = new SharedHttpClient(HttpClientOptions.DEFAULT);
        DutyStarter starter =
                new DutyStarter(
                        Daemon.describe(settings),
                        rings,
                        ports(settings, client, clock),
                        new DetachedPeers(),
                        metrics,
                        clock);
        starter.start(
                digest -> new byte[0],
                bytes -> Optional.empty(),
                new SplittableRandom(settings.id().hashCode()));
        return new Connections(client);
    }

    private static PlatformPorts ports(
            ProcessSettings settings, SharedHttpClient client, MonotonicClock clock) {
        HttpCalls calls = new HttpCalls(client, CONCURRENT_CALLS);
        Address store = addressOf(settings.keyValueService());
        return new PlatformPorts(
                new HttpKeyValueCommands(calls, store, STORE_LIMIT),
                new HttpKeyValueQueries(calls, client, store, STORE_LIMIT, WATCH_SILENCE),
                new HttpEndpointCommands(client, ANSWER_SILENCE),
                new HttpRunnerCommands(calls, RUNNER_LIMIT, clock),
                new HttpRunnerQueries(calls, RUNNER_LIMIT),
                new HttpVmListQueries(calls, addressOf(settings.vmList()), LIST_LIMIT, clock),
                new HttpWeightStoreQueries(calls, addressOf(settings.weightStore()), LIST_LIMIT));
    }

    private static Address addressOf(URI uri) {
        return new Address(uri.getHost(), uri.getPort());
    }

    @Override
    public void close() {
        mClient.close();
    }
}
