package org.oleanderspring.daemon.process.command;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.net.URI;
import java.time.Duration;
import java.util.SplittableRandom;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.daemon.process.PlatformPorts;
import org.oleanderspring.daemon.process.ProcessSettings;
import org.oleanderspring.daemon.wiring.command.DutyStarter;
import org.oleanderspring.daemon.wiring.command.PeerFanOut;
import org.oleanderspring.daemon.wiring.command.Rings;
import org.oleanderspring.peer.PeerLimits;
import org.oleanderspring.peer.codec.PeerCodec;
import org.oleanderspring.peer.command.PeerStartResult;
import org.oleanderspring.peer.command.PeerTransport;
import org.oleanderspring.peer.query.PeerTraffic;
import org.oleanderspring.platform.command.HttpEndpointCommands;
import org.oleanderspring.platform.command.HttpKeyValueCommands;
import org.oleanderspring.platform.command.HttpRunnerCommands;
import org.oleanderspring.platform.http.HttpCallSender;
import org.oleanderspring.platform.http.HttpClientOptions;
import org.oleanderspring.platform.http.SharedHttpClient;
import org.oleanderspring.platform.query.HttpKeyValueQueries;
import org.oleanderspring.platform.query.HttpRunnerQueries;
import org.oleanderspring.platform.query.HttpVmListQueries;
import org.oleanderspring.platform.query.HttpWeightStoreQueries;

/**
 * The HTTP client and the peer transport of a daemon. Opening them starts the duties that use them.
 */
final class Connections implements AutoCloseable {
    /** The maximum number of requests to the platform and to runners in flight. */
    private static final int MAX_CONCURRENT_REQUESTS = 512;

    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(1);

    /** The time limit for requests to the VM list and to the weight store. */
    private static final Duration LIST_TIMEOUT = Duration.ofSeconds(2);

    private static final Duration RUNNER_TIMEOUT = Duration.ofSeconds(2);

    /**
     * A watch that delivers nothing for this long is reopened, in case its connection broke without
     * a notification.
     */
    private static final Duration WATCH_IDLE_TIMEOUT = Duration.ofSeconds(10);

    /** The maximum time without further data from a response that has begun. */
    private static final Duration RESPONSE_IDLE_TIMEOUT = Duration.ofSeconds(60);

    private final SharedHttpClient mClient;

    private final PeerTransport mPeers;

    private Connections(SharedHttpClient client, PeerTransport peers) {
        mClient = client;
        mPeers = peers;
    }

    /** Whether the peer port could be opened. */
    sealed interface OpenResult {
        /**
         * The connections are open and the duties run.
         *
         * @param connections the open connections, which the receiver has to close
         */
        record Opened(Connections connections) implements OpenResult {}

        /**
         * The peer port could not be opened; nothing was started.
         *
         * @param reason the cause
         */
        record Failed(String reason) implements OpenResult {}
    }

    /** Opens the peer port first, so that nothing else is started if it is not available. */
    static OpenResult open(
            ProcessSettings settings, Rings rings, MetricRegistry metrics, MonotonicClock clock) {
        Address peer = settings.peerAddress();
        PeerStartResult start =
                PeerTransport.start(
                        peer.ip(),
                        peer.port(),
                        new PeerFanOut(rings, clock),
                        PeerLimits.defaults());
        if (start instanceof PeerStartResult.Failed failed) {
            return new OpenResult.Failed(failed.reason());
        }
        PeerTransport transport = ((PeerStartResult.Started) start).transport();
        SharedHttpClient client = new SharedHttpClient(HttpClientOptions.DEFAULT);
        registerGauges(metrics, transport.traffic());
        DutyStarter starter =
                new DutyStarter(
                        Daemon.selfMember(settings),
                        rings,
                        ports(settings, client, clock),
                        transport,
                        metrics,
                        clock);
        PeerCodec codec = new PeerCodec();
        starter.start(
                codec::encodeDigest,
                codec::decodeDigest,
                // Each daemon process gets a seed of its own, so that daemons choose differently.
                new SplittableRandom(settings.id().hashCode()));
        return new OpenResult.Opened(new Connections(client, transport));
    }

    private static void registerGauges(MetricRegistry metrics, PeerTraffic traffic) {
        metrics.registerGauge("peer.bytesIn", (Gauge<Long>) traffic::bytesIn);
        metrics.registerGauge("peer.bytesOut", (Gauge<Long>) traffic::bytesOut);
        metrics.registerGauge("peer.messagesIn", (Gauge<Long>) traffic::messagesIn);
        metrics.registerGauge("peer.messagesOut", (Gauge<Long>) traffic::messagesOut);
        metrics.registerGauge("peer.malformedIn", (Gauge<Long>) traffic::malformedIn);
        metrics.registerGauge("peer.refusedIn", (Gauge<Long>) traffic::refusedIn);
        metrics.registerGauge("peer.droppedOut", (Gauge<Long>) traffic::droppedOut);
        metrics.registerGauge("peer.openConnections", (Gauge<Integer>) traffic::openConnections);
    }

    private static PlatformPorts ports(
            ProcessSettings settings, SharedHttpClient client, MonotonicClock clock) {
        HttpCallSender httpCalls = new HttpCallSender(client, MAX_CONCURRENT_REQUESTS);
        Address store = addressOf(settings.keyValueService());
        return new PlatformPorts(
                new HttpKeyValueCommands(httpCalls, store, STORE_TIMEOUT),
                new HttpKeyValueQueries(
                        httpCalls, client, store, STORE_TIMEOUT, WATCH_IDLE_TIMEOUT),
                new HttpEndpointCommands(client, RESPONSE_IDLE_TIMEOUT),
                new HttpRunnerCommands(httpCalls, RUNNER_TIMEOUT, clock),
                new HttpRunnerQueries(httpCalls, RUNNER_TIMEOUT, clock),
                new HttpVmListQueries(httpCalls, addressOf(settings.vmList()), LIST_TIMEOUT, clock),
                new HttpWeightStoreQueries(
                        httpCalls, addressOf(settings.weightStore()), LIST_TIMEOUT));
    }

    private static Address addressOf(URI uri) {
        return new Address(uri.getHost(), uri.getPort());
    }

    @Override
    public void close() {
        mPeers.close();
        mClient.close();
    }
}
