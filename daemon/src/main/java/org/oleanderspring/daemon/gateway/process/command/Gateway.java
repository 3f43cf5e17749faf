package org.oleanderspring.daemon.gateway.process.command;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;
import org.eclipse.jetty.server.Handler;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.lease.LeaseOptions;
import org.oleanderspring.coordination.lease.command.DefaultLeaseDecider;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.command.KeyValueCommands;
import org.oleanderspring.coordination.store.query.PrefixListener;
import org.oleanderspring.coordination.watch.WatchOptions;
import org.oleanderspring.coordination.watch.command.DefaultWatchDecider;
import org.oleanderspring.coordination.watch.command.WatchEvent;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.quarantine.command.DefaultQuarantineDecider;
import org.oleanderspring.core.residency.command.DefaultResidencyDecider;
import org.oleanderspring.core.routing.command.DefaultRoutingDecider;
import org.oleanderspring.core.routing.command.LeastLoadedSelector;
import org.oleanderspring.core.routing.command.NearDomainSelector;
import org.oleanderspring.core.routing.command.PrefixAffinitySelector;
import org.oleanderspring.core.routing.command.RefuseLateStartPolicy;
import org.oleanderspring.core.routing.command.ResumingRetryPolicy;
import org.oleanderspring.core.routing.command.SafeRetryPolicy;
import org.oleanderspring.core.routing.command.SlidingWindowRetryBudget;
import org.oleanderspring.daemon.front.command.HttpListener;
import org.oleanderspring.daemon.front.command.ListenerOptions;
import org.oleanderspring.daemon.front.query.UnknownPathHandler;
import org.oleanderspring.daemon.gateway.GatewayKeys;
import org.oleanderspring.daemon.gateway.GatewaySettings;
import org.oleanderspring.daemon.gateway.front.command.GatewayRequestHandler;
import org.oleanderspring.daemon.gateway.front.command.StatusRefusalWriter;
import org.oleanderspring.daemon.gateway.front.query.ReadinessHandler;
import org.oleanderspring.daemon.gateway.front.query.ResolveHandler;
import org.oleanderspring.daemon.gateway.permit.command.PermitDuty;
import org.oleanderspring.daemon.gateway.placement.command.ResidencyDuty;
import org.oleanderspring.daemon.gateway.placement.command.ResidencyPorts;
import org.oleanderspring.daemon.gateway.quarantine.command.QuarantineDuty;
import org.oleanderspring.daemon.gateway.quarantine.command.QuarantineMeters;
import org.oleanderspring.daemon.gateway.quarantine.command.QuarantinePorts;
import org.oleanderspring.daemon.gateway.routing.command.GatewayMeters;
import org.oleanderspring.daemon.gateway.routing.command.GatewayPorts;
import org.oleanderspring.daemon.gateway.routing.command.GatewayRoutingDuty;
import org.oleanderspring.daemon.gateway.routing.command.GatewayRoutingInput;
import org.oleanderspring.daemon.gateway.share.command.ShareDuty;
import org.oleanderspring.daemon.gateway.store.command.ObservedKeyValueCommands;
import org.oleanderspring.daemon.gateway.store.command.ObservedValueQueries;
import org.oleanderspring.daemon.gateway.store.command.StoreWatchDuty;
import org.oleanderspring.daemon.gateway.store.command.StoreWatchMeters;
import org.oleanderspring.daemon.operator.query.TextMetricsHandler;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.daemon.process.SuspendAwareClock;
import org.oleanderspring.duty.command.DutyTimer;
import org.oleanderspring.duty.command.EventSink;
import org.oleanderspring.duty.query.RingUsage;
import org.oleanderspring.peer.PeerLimits;
import org.oleanderspring.peer.command.PeerStartResult;
import org.oleanderspring.peer.command.PeerTransport;
import org.oleanderspring.platform.hosted.DirectoryParameter;
import org.oleanderspring.platform.hosted.codec.HostedRequestHeadReader;
import org.oleanderspring.platform.hosted.command.HostedEndpointCommands;
import org.oleanderspring.platform.hosted.command.HostedKeyValueCommands;
import org.oleanderspring.platform.hosted.command.HostedResidencyCommands;
import org.oleanderspring.platform.hosted.query.HostedKeyValueQueries;
import org.oleanderspring.platform.hosted.query.HostedRunnerStateQueries;
import org.oleanderspring.platform.http.HttpCallSender;
import org.oleanderspring.platform.http.HttpClientOptions;
import org.oleanderspring.platform.http.SharedHttpClient;

/**
 * The daemon for a hosted platform: creates its duties, listeners and clients and connects them.
 */
public final class Gateway implements AutoCloseable {
    private static final Logger LOGGER = System.getLogger(Gateway.class.getName());

    private static final Duration STORE_TIMEOUT = Duration.ofMillis(800);

    /** The names of the followed prefixes of the key-value service in the metrics. */
    private static final Map<StoreKey, String> WATCH_NAMES =
            Map.of(
                    GatewayKeys.CONFIGURATION_AND_DAEMONS, "configuration",
                    GatewayKeys.RUNNERS, "runners");

    private static final Duration RUNNER_TIMEOUT = Duration.ofSeconds(1);

    /**
     * A runner that runs answers within milliseconds; the port of one that ended refuses at once.
     */
    private static final Duration RUNNER_CHECK_TIMEOUT = Duration.ofMillis(500);

    /** Longer than the timeout of any route, so that only deadlines end a response. */
    private static final Duration RESPONSE_SILENCE_LIMIT = Duration.ofMinutes(5);

    private static final int MAX_CONCURRENT_CALLS = 256;

    /**
     * Far longer than the state of a runner with thousands of adapters; a faulty one may not end.
     */
    private static final int MAX_RUNNER_STATE_BYTES = 256 << 10;

    private static final int CLIENT_THREADS = 4;
    private static final int RUNNER_CONNECTIONS = 64;
    private static final int RUNNER_QUEUE_LIMIT = 1_024;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    /** Shorter than the time after which runners close idle connections. */
    private static final Duration CONNECTION_IDLE_TIMEOUT = Duration.ofSeconds(4);

    private static final ListenerOptions FRONT_OPTIONS =
            new ListenerOptions(8, 4, 16 * 1024, Duration.ofSeconds(15), true);
    private static final ListenerOptions AUXILIARY_OPTIONS =
            new ListenerOptions(6, 3, 16 * 1024, Duration.ofSeconds(30), false);

    /** The watch reports released keys at once, so reading them is needed only if it missed one. */
    private static final Duration LEASE_POLL_INTERVAL = Duration.ofSeconds(15);

    /**
     * A holder that cannot renew the placement lease stops sending orders a safety margin before
     * the lease expires.
     */
    private static final LeaseOptions LEASE_OPTIONS =
            new LeaseOptions(
                    Duration.ofSeconds(3),
                    GatewayStop.SAFETY_MARGIN,
                    Duration.ofMillis(800),
                    Duration.ofMillis(200),
                    Duration.ofMillis(100),
                    LEASE_POLL_INTERVAL);

    private final GatewaySettings mSettings;
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final GatewayRings mRings = new GatewayRings();

    /** One clock for proofs of the configuration and their age. */
    private final SuspendAwareClock mStoreClock = new SuspendAwareClock(Clock.systemUTC());

    private final RunnerWatch mRunnerWatch;
    private final SharedHttpClient mClient =
            new SharedHttpClient(
                    new HttpClientOptions(
                            CLIENT_THREADS,
                            RUNNER_CONNECTIONS,
                            RUNNER_QUEUE_LIMIT,
                            CONNECT_TIMEOUT,
                            CONNECTION_IDLE_TIMEOUT));
    private final List<AutoCloseable> mOpenResources =
            Collections.synchronizedList(new ArrayList<>());

    /**
     * Creates the daemon; call {@link #start()} to run it.
     *
     * @param settings the settings of the daemon
     */
    public Gateway(GatewaySettings settings) {
        mSettings = settings;
        mRunnerWatch = new RunnerWatch(mRings.storeWatchSink(), settings.drainLimit());
    }

    /**
     * Opens the ports and starts the duties.
     *
     * @return an error message if a port could not be opened, or null; ports that were opened
     *     before the failure stay open until {@link #close()}
     */
    public @Nullable String start() {
        PeerMessenger messenger = new PeerMessenger(mSettings, mRings);
        PeerStartResult peer =
                PeerTransport.start(
                        mSettings.self().frontAddress().ip(),
                        mSettings.peerPort(),
                        messenger,
                        PeerLimits.defaults());
        if (!(peer instanceof PeerStartResult.Started started)) {
            return ErrorMessage.PORT_UNAVAILABLE.format(
                    Integer.toString(mSettings.peerPort()),
                    ((PeerStartResult.Failed) peer).reason());
        }
        mOpenResources.add(started.transport());
        messenger.connect(started.transport());
        startRouting(messenger);
        ResidencyDuty placement = startPlacement(messenger);
        startQuarantine(messenger);
        mRings.permits().start(new PermitDuty(messenger, new MonotonicClock(Clock.systemUTC())));
        mRings.shares()
                .start(
                        new ShareDuty(
                                mSettings.self(),
                                mSettings.quotaBounds(),
                                messenger,
                                new SuspendAwareClock(Clock.systemUTC())));
        String failure = openPorts();
        if (failure != null) {
            return failure;
        }
        mRings.placementSink().offer(placement.candidacyInput());
        startStoreWatch();
        mRings.startTicks();
        LOGGER.log(
                Level.INFO,
                "[gateway] started daemon="
                        + mSettings.self().id()
                        + " failure-domain="
                        + mSettings.failureDomain()
                        + " store="
                        + mSettings.store());
        return null;
    }

    private void startRouting(PeerMessenger messenger) {
        DefaultRoutingDecider decider =
                new DefaultRoutingDecider(
                        new NearDomainSelector(
                                mSettings.failureDomain(),
                                mSettings.domainPrice(),
                                new PrefixAffinitySelector(
                                        new LeastLoadedSelector(mSettings.self().id().hashCode()))),
                        new RefuseLateStartPolicy(),
                        new ResumingRetryPolicy(new SafeRetryPolicy()),
                        new SlidingWindowRetryBudget());
        GatewayPorts ports =
                new GatewayPorts(
                        new HostedEndpointCommands(mClient, RESPONSE_SILENCE_LIMIT),
                        messenger,
                        messenger,
                        messenger,
                        mRings);
        mRings.routing()
                .start(
                        new GatewayRoutingDuty(
                                mSettings,
                                decider,
                                ports,
                                new GatewayMeters(mMetrics),
                                new MonotonicClock(Clock.systemUTC()),
                                mStoreClock,
                                mRings.routingSink()));
    }

    private ResidencyDuty startPlacement(PeerMessenger messenger) {
        DefaultLeaseDecider leases =
                new DefaultLeaseDecider(
                        mSettings.self().id(),
                        GatewayKeys::leaseKey,
                        LEASE_OPTIONS,
                        new SplittableRandom(mSettings.self().id().hashCode()));
        ResidencyPorts ports =
                new ResidencyPorts(
                        storeCommands(),
                        new ObservedValueQueries(storeQueries(), mRings.storeWatchSink()),
                        new HostedResidencyCommands(runnerCalls(), RUNNER_TIMEOUT),
                        new HostedRunnerStateQueries(runnerCalls(), RUNNER_TIMEOUT),
                        messenger,
                        mRunnerWatch);
        ResidencyDuty duty =
                new ResidencyDuty(
                        mSettings,
                        leases,
                        LEASE_OPTIONS.safetyMargin(),
                        new DefaultResidencyDecider(mSettings.storeLoadsAtOnce()),
                        ports,
                        new SuspendAwareClock(Clock.systemUTC()),
                        mRings.timer(),
                        mRings.placementSink(),
                        mRings.placement());
        mRings.placement().start(duty);
        return duty;
    }

    private void startQuarantine(PeerMessenger messenger) {
        QuarantinePorts ports =
                new QuarantinePorts(
                        storeCommands(),
                        new HostedRunnerStateQueries(runnerCalls(), RUNNER_CHECK_TIMEOUT),
                        messenger,
                        quarantine ->
                                mRings.routingSink()
                                        .offer(
                                                new GatewayRoutingInput.QuarantineChanged(
                                                        quarantine)));
        mRings.quarantine()
                .start(
                        new QuarantineDuty(
                                new DefaultQuarantineDecider(mSettings.self().id()),
                                ports,
                                new QuarantineMeters(mMetrics),
                                new MonotonicClock(Clock.systemUTC()),
                                mRings.timer(),
                                mRings.quarantineSink()));
    }

    private HttpCallSender runnerCalls() {
        return new HttpCallSender(mClient, MAX_CONCURRENT_CALLS, MAX_RUNNER_STATE_BYTES);
    }

    private KeyValueCommands storeCommands() {
        return new ObservedKeyValueCommands(
                new HostedKeyValueCommands(
                        new HttpCallSender(mClient, MAX_CONCURRENT_CALLS),
                        mSettings.store(),
                        STORE_TIMEOUT),
                mRings.storeWatchSink());
    }

    private HostedKeyValueQueries storeQueries() {
        return new HostedKeyValueQueries(
                new HttpCallSender(mClient, MAX_CONCURRENT_CALLS),
                mSettings.store(),
                STORE_TIMEOUT);
    }

    private void startStoreWatch() {
        WatchOptions options =
                new WatchOptions(
                        mSettings.settleLimit(),
                        STORE_TIMEOUT,
                        mSettings.storeReadsPerSecond(),
                        mSettings.revocationLimit());
        EventSink<WatchEvent> ring = mRings.storeWatchSink();
        mRings.storeWatch()
                .start(
                        new StoreWatchDuty(
                                new DefaultWatchDecider(
                                        options,
                                        new SplittableRandom(mSettings.self().id().hashCode())),
                                storeQueries(),
                                storeListeners(),
                                new StoreWatchMeters(mMetrics, WATCH_NAMES),
                                mStoreClock,
                                mRings.timer(),
                                ring));
        // While the service does not answer, the first prefix is the one that is probed.
        ring.offer(new WatchEvent.PrefixFollowed(GatewayKeys.CONFIGURATION_AND_DAEMONS));
        ring.offer(new WatchEvent.PrefixFollowed(GatewayKeys.RUNNERS));
    }

    private Map<StoreKey, PrefixListener> storeListeners() {
        PrefixSplitter configurationAndDaemons =
                new PrefixSplitter(
                        Map.of(
                                GatewayKeys.CONFIGURATION,
                                new StoreUpdatePublisher(GatewayKeys.CONFIGURATION, mRings),
                                GatewayKeys.DAEMONS,
                                new StoreUpdatePublisher(GatewayKeys.DAEMONS, mRings),
                                GatewayKeys.LEASES,
                                new DaemonCounter(mRings.storeWatchSink())));
        return Map.of(
                GatewayKeys.CONFIGURATION_AND_DAEMONS,
                configurationAndDaemons,
                GatewayKeys.RUNNERS,
                new StoreUpdatePublisher(GatewayKeys.RUNNERS, mRings));
    }

    private @Nullable String openPorts() {
        registerRingGauges("routing", mRings.routing());
        registerRingGauges("placement", mRings.placement());
        registerRingGauges("quarantine", mRings.quarantine());
        registerRingGauges("store-watch", mRings.storeWatch());
        registerRingGauges("permits", mRings.permits());
        registerRingGauges("shares", mRings.shares());
        Handler frontHandler =
                new GatewayRequestHandler(
                        mRings,
                        new HostedRequestHeadReader(),
                        new StatusRefusalWriter(ThreadLocalRandom::current),
                        new MonotonicClock(Clock.systemUTC()));
        String failure =
                open("front", mSettings.self().frontAddress(), frontHandler, FRONT_OPTIONS);
        if (failure == null) {
            failure =
                    open(
                            "readiness",
                            mSettings.readiness(),
                            new ReadinessHandler(mRings::readiness),
                            AUXILIARY_OPTIONS);
        }
        if (failure == null) {
            failure =
                    open(
                            "directory",
                            mSettings.directory(),
                            new ResolveHandler(
                                    mRings::addresses,
                                    mSettings.directoryTtl(),
                                    DirectoryParameter.FAILURE_DOMAIN),
                            AUXILIARY_OPTIONS);
        }
        if (failure == null) {
            failure =
                    open(
                            "metrics",
                            mSettings.metrics(),
                            new TextMetricsHandler(mMetrics),
                            AUXILIARY_OPTIONS);
        }
        return failure;
    }

    private void registerRingGauges(String duty, RingUsage ring) {
        mMetrics.registerGauge("ring." + duty + ".used", (Gauge<Long>) ring::used);
        mMetrics.registerGauge("ring." + duty + ".rejected", (Gauge<Long>) ring::rejectedOffers);
        mMetrics.registerGauge(
                "ring." + duty + ".wait_ms", (Gauge<Long>) () -> ring.lastWait().toMillis());
        mMetrics.registerGauge(
                "ring." + duty + ".busy_ms", (Gauge<Long>) () -> ring.busy().toMillis());
    }

    private @Nullable String open(
            String name, Address address, Handler handler, ListenerOptions options) {
        HttpListener listener =
                new HttpListener(
                        name, address, List.of(handler, new UnknownPathHandler()), options);
        try {
            listener.start();
        } catch (Exception unavailable) {
            return ErrorMessage.PORT_UNAVAILABLE.format(
                    address.toString(), String.valueOf(unavailable.getMessage()));
        }
        mOpenResources.add(listener);
        return null;
    }

    /** Returns the timer that the daemon's duties share. */
    public DutyTimer timer() {
        return mRings.timer();
    }

    /**
     * Applies changed retry limits: the percentage, the extra retries and their window. All other
     * changes take effect at the next start. May be called from any thread.
     *
     * @param settings the new settings
     */
    public void reconfigure(GatewaySettings settings) {
        mRings.routingSink().offer(new GatewayRoutingInput.SettingsChanged(settings));
    }

    /**
     * Runs a planned stop: refuses new requests and waits, at most until the stop limit, for the
     * requests in progress to end. Blocks. The ports stay open.
     */
    public void stop() {
        new GatewayStop(mRings, mSettings.stopLimit()).run();
        LOGGER.log(Level.INFO, "[gateway] stopped daemon=" + mSettings.self().id());
    }

    /** Closes ports, watches and duties immediately; requests in progress are aborted. */
    @Override
    public void close() {
        for (AutoCloseable resource : List.copyOf(mOpenResources)) {
            try {
                resource.close();
            } catch (Exception failure) {
                LOGGER.log(Level.WARNING, "[gateway] part-not-closed", failure);
            }
        }
        mRings.close();
        mClient.close();
    }
}
