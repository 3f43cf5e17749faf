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
import java.util.SplittableRandom;
import org.eclipse.jetty.server.Handler;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.lease.LeaseSettings;
import org.oleanderspring.coordination.lease.command.DefaultLeaseDecider;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.query.PacedWatch;
import org.oleanderspring.coordination.store.query.PrefixQueries;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.residency.command.DefaultResidencyDecider;
import org.oleanderspring.core.routing.command.DefaultRoutingDecider;
import org.oleanderspring.core.routing.command.LeastLoadedSelector;
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
import org.oleanderspring.daemon.gateway.placement.command.ResidencyDuty;
import org.oleanderspring.daemon.gateway.placement.command.ResidencyPorts;
import org.oleanderspring.daemon.gateway.routing.command.GatewayMeters;
import org.oleanderspring.daemon.gateway.routing.command.GatewayPorts;
import org.oleanderspring.daemon.gateway.routing.command.GatewayRoutingDuty;
import org.oleanderspring.daemon.gateway.routing.command.GatewayRoutingInput;
import org.oleanderspring.daemon.operator.query.TextMetricsHandler;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.daemon.process.SuspendAwareClock;
import org.oleanderspring.duty.command.DutyTimer;
import org.oleanderspring.duty.query.RingUsage;
import org.oleanderspring.peer.PeerLimits;
import org.oleanderspring.peer.command.PeerNode;
import org.oleanderspring.peer.command.PeerStart;
import org.oleanderspring.platform.hosted.codec.HostedRequestHeadReader;
import org.oleanderspring.platform.hosted.command.HostedEndpointCommands;
import org.oleanderspring.platform.hosted.command.HostedKeyValueCommands;
import org.oleanderspring.platform.hosted.command.HostedResidencyCommands;
import org.oleanderspring.platform.hosted.query.HostedKeyValueQueries;
import org.oleanderspring.platform.hosted.query.HostedRunnerStateQueries;
import org.oleanderspring.platform.http.HttpCalls;
import org.oleanderspring.platform.http.HttpClientOptions;
import org.oleanderspring.platform.http.SharedHttpClient;

/** One daemon on a hosted platform: its duties, ports and adapters. */
public final class Gateway implements AutoCloseable {
    private static final Logger LOGGER = System.getLogger(Gateway.class.getName());

    private static final Duration STORE_LIMIT = Duration.ofMillis(800);
    private static final Duration RUNNER_LIMIT = Duration.ofSeconds(1);

    /** Longer than any route may keep a request, so that only deadlines end an answer. */
    private static final Duration ANSWER_SILENCE = Duration.ofMinutes(5);

    private static final int PARALLEL_CALLS = 256;
    private static final int CLIENT_THREADS = 4;
    private static final int RUNNER_CONNECTIONS = 64;
    private static final int RUNNER_QUEUE = 1_024;
    private static final Duration CONNECT_LIMIT = Duration.ofSeconds(1);

    /** Below the time after which runners close idle connections. */
    private static final Duration CONNECTION_IDLE = Duration.ofSeconds(4);

    private static final ListenerOptions FRONT =
            new ListenerOptions(8, 4, 16 * 1024, Duration.ofSeconds(15), true);
    private static final ListenerOptions AUXILIARY =
            new ListenerOptions(6, 3, 16 * 1024, Duration.ofSeconds(30), false);

    /** A holder that is cut off stops giving orders a safety margin before its lease lapses. */
    private static final LeaseSettings LEASES =
            new LeaseSettings(
                    Duration.ofSeconds(3),
                    GatewayStop.SAFETY_MARGIN,
                    Duration.ofMillis(800),
                    Duration.ofMillis(200),
                    Duration.ofMillis(100));

    private final GatewaySettings mSettings;
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final GatewayRings mRings = new GatewayRings();
    private final RegistryFeed mRegistry = new RegistryFeed();
    private final SharedHttpClient mClient =
            new SharedHttpClient(
                    new HttpClientOptions(
                            CLIENT_THREADS,
                            RUNNER_CONNECTIONS,
                            RUNNER_QUEUE,
                            CONNECT_LIMIT,
                            CONNECTION_IDLE));
    private final List<AutoCloseable> mParts = Collections.synchronizedList(new ArrayList<>());

    /**
     * Creates the daemon; call {@link #start()} to run it.
     *
     * @param settings its settings
     */
    public Gateway(GatewaySettings settings) {
        mSettings = settings;
    }

    /**
     * Opens the ports and starts the duties.
     *
     * @return what went wrong, or null
     */
    public @Nullable String start() {
        PeerMessages messages = new PeerMessages(mSettings, mRings);
        PeerStart peer =
                PeerNode.start(
                        mSettings.self().frontAddress().ip(),
                        mSettings.peerPort(),
                        messages,
                        PeerLimits.usual());
        if (!(peer instanceof PeerStart.Started started)) {
            return ErrorMessage.PORT_UNAVAILABLE.format(
                    Integer.toString(mSettings.peerPort()), ((PeerStart.Failed) peer).reason());
        }
        mParts.add(started.node());
        messages.connect(started.node());
        startRouting(messages);
        ResidencyDuty placement = startPlacement(messages);
        String failure = openPorts();
        if (failure != null) {
            return failure;
        }
        mRings.placement().offer(placement.firstInput());
        followStore();
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

    private void startRouting(PeerMessages messages) {
        DefaultRoutingDecider decider =
                new DefaultRoutingDecider(
                        new PrefixAffinitySelector(
                                new LeastLoadedSelector(mSettings.self().id().hashCode())),
                        new RefuseLateStartPolicy(),
                        new ResumingRetryPolicy(new SafeRetryPolicy()),
                        new SlidingWindowRetryBudget());
        GatewayPorts ports =
                new GatewayPorts(new HostedEndpointCommands(mClient, ANSWER_SILENCE), messages);
        mRings.routing()
                .start(
                        new GatewayRoutingDuty(
                                mSettings,
                                decider,
                                ports,
                                new GatewayMeters(mMetrics),
                                new MonotonicClock(Clock.systemUTC()),
                                mRings.routing()));
    }

    private ResidencyDuty startPlacement(PeerMessages messages) {
        HttpCalls calls = new HttpCalls(mClient, PARALLEL_CALLS);
        DefaultLeaseDecider leases =
                new DefaultLeaseDecider(
                        mSettings.self().id(),
                        GatewayKeys::leaseKey,
                        LEASES,
                        new SplittableRandom(mSettings.self().id().hashCode()));
        ResidencyPorts ports =
                new ResidencyPorts(
                        new HostedKeyValueCommands(calls, mSettings.store(), STORE_LIMIT),
                        storeQueries(calls),
                        new HostedResidencyCommands(calls, RUNNER_LIMIT),
                        new HostedRunnerStateQueries(calls, RUNNER_LIMIT),
                        messages,
                        mRegistry);
        ResidencyDuty duty =
                new ResidencyDuty(
                        mSettings,
                        leases,
                        LEASES.safetyMargin(),
                        new DefaultResidencyDecider(mSettings.storeLoadsAtOnce()),
                        ports,
                        new SuspendAwareClock(Clock.systemUTC()),
                        mRings.timer(),
                        mRings.placement());
        mRings.placement().start(duty);
        return duty;
    }

    private HostedKeyValueQueries storeQueries(HttpCalls calls) {
        return new HostedKeyValueQueries(
                calls, mClient.jetty().getScheduler(), mSettings.store(), STORE_LIMIT);
    }

    private void followStore() {
        PrefixQueries queries = storeQueries(new HttpCalls(mClient, PARALLEL_CALLS));
        for (StoreKey prefix : List.of(GatewayKeys.CONFIGURATION, GatewayKeys.LEASES)) {
            mParts.add(queries.follow(prefix, new StoreFeed(prefix, mRings)));
        }
        PacedWatch runners =
                queries.follow(GatewayKeys.RUNNERS, new StoreFeed(GatewayKeys.RUNNERS, mRings));
        mParts.add(runners);
        mRegistry.connect(runners);
    }

    private @Nullable String openPorts() {
        registerGauge("routing", mRings.routing());
        registerGauge("placement", mRings.placement());
        Handler front =
                new GatewayRequestHandler(
                        mRings,
                        new HostedRequestHeadReader(),
                        new StatusRefusalWriter(),
                        new MonotonicClock(Clock.systemUTC()));
        String failure = open("front", mSettings.self().frontAddress(), front, FRONT);
        if (failure == null) {
            failure =
                    open(
                            "readiness",
                            mSettings.readiness(),
                            new ReadinessHandler(mRings::readiness),
                            AUXILIARY);
        }
        if (failure == null) {
            failure =
                    open(
                            "directory",
                            mSettings.directory(),
                            new ResolveHandler(mRings::addresses, mSettings.directoryTtl()),
                            AUXILIARY);
        }
        if (failure == null) {
            failure =
                    open(
                            "metrics",
                            mSettings.metrics(),
                            new TextMetricsHandler(mMetrics),
                            AUXILIARY);
        }
        return failure;
    }

    private void registerGauge(String duty, RingUsage ring) {
        mMetrics.registerGauge("ring." + duty + ".used", (Gauge<Long>) ring::used);
        mMetrics.registerGauge("ring." + duty + ".rejected", (Gauge<Long>) ring::rejectedOffers);
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
        mParts.add(listener);
        return null;
    }

    /** Returns the timer of the daemon's duties. */
    public DutyTimer timer() {
        return mRings.timer();
    }

    /**
     * Takes over changed settings. Addresses, ports and names stay as they were until a restart.
     *
     * @param settings the settings
     */
    public void reconfigure(GatewaySettings settings) {
        mRings.routing().offer(new GatewayRoutingInput.SettingsChanged(settings));
    }

    /** Stops the daemon without cutting off a request that can end in time. */
    public void stop() {
        new GatewayStop(mRings, mSettings.stopLimit()).run();
        LOGGER.log(Level.INFO, "[gateway] stopped daemon=" + mSettings.self().id());
    }

    /** Closes all parts at once, without regard to requests in progress. */
    @Override
    public void close() {
        for (AutoCloseable part : List.copyOf(mParts)) {
            try {
                part.close();
            } catch (Exception failure) {
                LOGGER.log(Level.WARNING, "[gateway] part-not-closed", failure);
            }
        }
        mRings.close();
        mClient.close();
    }
}
