package org.oleanderspring.daemon.wiring.command;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.oleanderspring.coordination.dispatch.DispatchKeyLayout;
import org.oleanderspring.coordination.dispatch.DispatchLimits;
import org.oleanderspring.coordination.dispatch.DispatchSettings;
import org.oleanderspring.coordination.dispatch.command.DefaultDispatchDecider;
import org.oleanderspring.coordination.document.DocumentDigest;
import org.oleanderspring.coordination.document.DocumentOptions;
import org.oleanderspring.coordination.document.command.DefaultDocumentDecider;
import org.oleanderspring.coordination.document.command.DocumentEvent;
import org.oleanderspring.coordination.lease.LeaseOptions;
import org.oleanderspring.coordination.lease.command.DefaultLeaseDecider;
import org.oleanderspring.coordination.lease.command.LeaseEvent;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.MembershipOptions;
import org.oleanderspring.coordination.membership.command.DefaultMembershipDecider;
import org.oleanderspring.coordination.membership.command.MembershipEvent;
import org.oleanderspring.core.routing.command.DefaultRoutingDecider;
import org.oleanderspring.core.routing.command.EndpointSelector;
import org.oleanderspring.core.routing.command.LeastLoadedSelector;
import org.oleanderspring.core.routing.command.PowerOfTwoSelector;
import org.oleanderspring.core.routing.command.PrefixAffinitySelector;
import org.oleanderspring.core.routing.command.RefuseByEstimatePolicy;
import org.oleanderspring.core.routing.command.RoutingEvent;
import org.oleanderspring.core.routing.command.SafeRetryPolicy;
import org.oleanderspring.daemon.dispatch.command.DispatchDuty;
import org.oleanderspring.daemon.dispatch.command.DispatchInput;
import org.oleanderspring.daemon.document.command.DocumentDuty;
import org.oleanderspring.daemon.document.command.DocumentInput;
import org.oleanderspring.daemon.lease.command.LeaseDuty;
import org.oleanderspring.daemon.lease.command.LeaseInput;
import org.oleanderspring.daemon.membership.command.EncodedDigestSource;
import org.oleanderspring.daemon.membership.command.MembershipDuty;
import org.oleanderspring.daemon.membership.command.MembershipInput;
import org.oleanderspring.daemon.placement.command.PlacementDuty;
import org.oleanderspring.daemon.placement.command.PlacementInput;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.daemon.process.PlatformPorts;
import org.oleanderspring.daemon.process.StoreKeys;
import org.oleanderspring.daemon.process.StorePorts;
import org.oleanderspring.daemon.report.command.ReportDuty;
import org.oleanderspring.daemon.report.command.ReportInput;
import org.oleanderspring.daemon.routing.command.RoutingDuty;
import org.oleanderspring.daemon.routing.command.RoutingInput;
import org.oleanderspring.daemon.routing.command.RoutingMeters;
import org.oleanderspring.daemon.routing.command.RoutingPorts;
import org.oleanderspring.duty.command.OnDemandTicker;
import org.oleanderspring.peer.command.PeerSender;

/** Creates the duties of a daemon with their deciders, and starts their threads and timer ticks. */
public final class DutyStarter {
    /** The period of the ticks of the routing and dispatch duties while calls or claims wait. */
    private static final Duration BUSY_TICK = Duration.ofMillis(20);

    /** The period of the ticks of the same duties while nothing waits. */
    private static final Duration IDLE_TICK = Duration.ofMillis(250);

    /** The period of the ticks of the lease and membership duties. */
    private static final Duration COORDINATION_TICK = Duration.ofMillis(100);

    private static final Duration DOCUMENT_TICK = Duration.ofMillis(250);
    private static final Duration PLACEMENT_TICK = Duration.ofMillis(200);
    private static final Duration REPORT_TICK = Duration.ofMillis(250);

    /** How often the routing duty reports the use of models to the placement duty. */
    private static final Duration USE_PERIOD = Duration.ofSeconds(1);

    private final Member mSelf;
    private final Rings mRings;
    private final PlatformPorts mPorts;
    private final PeerSender mPeers;
    private final MetricRegistry mMetrics;
    private final MonotonicClock mClock;

    /**
     * Creates the starter; {@link #start} creates the duties and starts their threads.
     *
     * @param self this daemon's own entry in the member list
     * @param rings the threads and rings of the duties
     * @param ports the interfaces to the platform and the endpoints
     * @param peers sends messages to other daemons
     * @param metrics receives the routing metrics
     * @param clock the clock of all duties
     */
    public DutyStarter(
            Member self,
            Rings rings,
            PlatformPorts ports,
            PeerSender peers,
            MetricRegistry metrics,
            MonotonicClock clock) {
        mSelf = self;
        mRings = rings;
        mPorts = ports;
        mPeers = peers;
        mMetrics = metrics;
        mClock = clock;
    }

    /**
     * Starts all duties; to be called once.
     *
     * @param encoder encodes document digests
     * @param decoder decodes document digests; returns empty for a malformed one
     * @param random the generator from which those of the deciders are split
     */
    public void start(
            EncodedDigestSource.DigestEncoder encoder,
            Function<byte[], Optional<DocumentDigest>> decoder,
            SplittableRandom random) {
        startRouting(random.split());
        startDispatch();
        startPlacement();
        startDocument(random);
        startLease(random);
        startMembership(encoder, decoder, random);
        startReport();
    }

    private DefaultRoutingDecider newRoutingDecider(SplittableRandom random) {
        EndpointSelector leastLoaded = new LeastLoadedSelector(random.nextLong());
        EndpointSelector selector =
                new PrefixAffinitySelector(new PowerOfTwoSelector(random, leastLoaded));
        return new DefaultRoutingDecider(
                selector, new RefuseByEstimatePolicy(), new SafeRetryPolicy());
    }

    private void startRouting(SplittableRandom random) {
        RoutingDuty duty =
                new RoutingDuty(
                        mSelf.id(),
                        newRoutingDecider(random),
                        new RoutingPorts(
                                mPorts.endpoints(),
                                new RingClaimCommands(mRings),
                                (model, deadline, waiting) ->
                                        mRings.placement()
                                                .offer(
                                                        new PlacementInput.LocalActivationRequested(
                                                                model, deadline, waiting)),
                                uses ->
                                        mRings.placement()
                                                .offer(new PlacementInput.LocalUseReported(uses))),
                        new RoutingMeters(mMetrics),
                        mClock,
                        mRings.routing(),
                        new OnDemandTicker<>(
                                mRings.timer(),
                                mRings.routingThread(),
                                () -> new RoutingInput.Event(new RoutingEvent.TimerFired()),
                                BUSY_TICK));
        mRings.routingThread().start(duty);
        mRings.timer()
                .scheduleAtFixedRate(
                        IDLE_TICK,
                        mRings.routingThread(),
                        () -> new RoutingInput.Event(new RoutingEvent.TimerFired()));
        mRings.timer()
                .scheduleAtFixedRate(
                        USE_PERIOD, mRings.routingThread(), RoutingInput.UseReportDue::new);
    }

    private void startDispatch() {
        DispatchLimits limits = DispatchLimits.DEFAULT;
        DispatchDuty duty =
                new DispatchDuty(
                        mSelf.id(),
                        new DefaultDispatchDecider(
                                mSelf.id(),
                                new DispatchKeyLayout(StoreKeys.dispatchPrefix()),
                                limits,
                                DispatchSettings.DEFAULT),
                        limits,
                        new StorePorts(mPorts.storeCommands(), mPorts.storeQueries()),
                        mPeers,
                        (call, result) ->
                                mRings.routing()
                                        .offer(
                                                new RoutingInput.Event(
                                                        new RoutingEvent.DispatchRecorded(
                                                                call, result))),
                        mClock,
                        mRings.dispatch(),
                        new OnDemandTicker<>(
                                mRings.timer(),
                                mRings.dispatchThread(),
                                DispatchInput.Tick::new,
                                BUSY_TICK));
        mRings.dispatchThread().start(duty);
        mRings.timer()
                .scheduleAtFixedRate(IDLE_TICK, mRings.dispatchThread(), DispatchInput.Tick::new);
    }

    private void startPlacement() {
        PlacementDuty duty =
                new PlacementDuty(
                        mSelf.id(),
                        mSelf.peerAddress(),
                        mPorts.storeCommands(),
                        mPorts.storeQueries(),
                        mPorts.runnerCommands(),
                        mPeers,
                        new PlacementFanOut(mRings),
                        mClock,
                        mRings.placement());
        mRings.placementThread().start(duty);
        mRings.timer()
                .scheduleAtFixedRate(
                        PLACEMENT_TICK, mRings.placementThread(), PlacementInput.Tick::new);
    }

    private void startDocument(SplittableRandom random) {
        DocumentDuty duty =
                new DocumentDuty(
                        new DefaultDocumentDecider(
                                mSelf,
                                DocumentOptions.defaults(StoreKeys.SETTINGS),
                                random.split()),
                        mPorts.storeCommands(),
                        mPorts.storeQueries(),
                        mPeers,
                        new DocumentFanOut(mRings),
                        mClock,
                        mRings.document());
        mRings.documentThread().start(duty);
        mRings.timer()
                .scheduleAtFixedRate(
                        DOCUMENT_TICK,
                        mRings.documentThread(),
                        () -> new DocumentInput.Event(new DocumentEvent.TimerFired()));
    }

    private void startLease(SplittableRandom random) {
        LeaseDuty duty =
                new LeaseDuty(
                        mSelf.id(),
                        new DefaultLeaseDecider(
                                mSelf.id(), StoreKeys::lease, LeaseOptions.DEFAULT, random.split()),
                        mPorts.storeCommands(),
                        mPorts.storeQueries(),
                        new LeaseFanOut(mRings),
                        mClock,
                        mRings.lease());
        mRings.leaseThread().start(duty);
        mRings.timer()
                .scheduleAtFixedRate(
                        COORDINATION_TICK,
                        mRings.leaseThread(),
                        () -> new LeaseInput.Event(new LeaseEvent.TimerFired()));
    }

    private void startMembership(
            EncodedDigestSource.DigestEncoder encoder,
            Function<byte[], Optional<DocumentDigest>> decoder,
            SplittableRandom random) {
        EncodedDigestSource digests = new EncodedDigestSource(encoder);
        MembershipDuty duty =
                new MembershipDuty(
                        new DefaultMembershipDecider(
                                mSelf,
                                MembershipOptions.defaults(),
                                digests,
                                random.split(),
                                mClock.now()),
                        digests,
                        mPeers,
                        new MembershipFanOut(mRings, decoder),
                        mClock);
        mRings.membershipThread().start(duty);
        mRings.timer()
                .scheduleAtFixedRate(
                        COORDINATION_TICK,
                        mRings.membershipThread(),
                        () -> new MembershipInput.Event(new MembershipEvent.TimerFired()));
    }

    private void startReport() {
        ReportDuty duty =
                new ReportDuty(
                        mPorts.vmList(),
                        mPorts.weightStore(),
                        mPorts.runnerQueries(),
                        new ReportFanOut(mRings),
                        mClock,
                        mRings.report());
        mRings.reportThread().start(duty);
        mRings.timer()
                .scheduleAtFixedRate(REPORT_TICK, mRings.reportThread(), ReportInput.Tick::new);
    }
}
