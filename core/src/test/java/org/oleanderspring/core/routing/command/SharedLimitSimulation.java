package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.membership.query.RendezvousRanking;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointStatement;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.fleet.StatedLimit;
import org.oleanderspring.core.permit.IssuerRank;
import org.oleanderspring.core.permit.PermitGrant;
import org.oleanderspring.core.permit.PermitRequest;
import org.oleanderspring.core.permit.command.PermitIssuer;
import org.oleanderspring.core.quarantine.Prompt;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.CallOrigin;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.DeadlineScope;
import org.oleanderspring.core.routing.Repetition;
import org.oleanderspring.core.routing.Replica;
import org.oleanderspring.core.routing.ReplicaState;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.core.routing.RoutingTable;
import org.oleanderspring.core.routing.Target;

/**
 * Daemons that send the calls of one model to replicas of which some limit the rate of calls.
 * Counts the calls that reach each replica from daemons that know its limit from its responses.
 */
final class SharedLimitSimulation {
    /** The time after the first response with a limit from which on it is to be kept. */
    static final Duration SETTLE = Duration.ofSeconds(3);

    private static final Target TARGET =
            new Target.ServiceModelTarget(new ServiceName("assistant"), ModelReference.parse("m1"));
    private static final Duration MESSAGE = Duration.ofMillis(2);
    private static final Duration FIRST_BYTE = Duration.ofMillis(50);
    private static final Duration CALL = Duration.ofMillis(1_500);
    private static final Duration TICK = Duration.ofMillis(100);

    /** The time that a daemon has after a response until its calls count. */
    private static final Duration TOLD_SLACK = Duration.ofMillis(500);

    private static final Duration WINDOW = Duration.ofSeconds(4);
    private static final double FACTOR = 1.5;
    private static final int EXTRA_CALLS = 5;
    private static final int SLOTS = 32;

    private final SimulatedTime mTime = new SimulatedTime();
    private final Random mRandom;
    private final boolean mReadsLimits;
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final Map<EndpointId, Endpoint> mEndpoints = new HashMap<>();
    private Set<MemberId> mMembers = new HashSet<>();
    private double mLossRate;
    private long mNextCall = 1;
    private int mServed;
    private int mRefused;

    /**
     * Creates a simulation.
     *
     * @param seed the seed of arrivals and losses
     * @param readsLimits whether the daemons read what the replicas say
     * @param daemons their number
     * @param limits the limit of each replica; 0 for none
     */
    SharedLimitSimulation(long seed, boolean readsLimits, int daemons, double... limits) {
        mRandom = new Random(seed);
        mReadsLimits = readsLimits;
        List<Replica> replicas = new ArrayList<>();
        for (int number = 0; number < limits.length; number++) {
            EndpointId id = new EndpointId("r" + number);
            mEndpoints.put(id, new Endpoint(limits[number]));
            replicas.add(new Replica(id, ReplicaState.READY, SLOTS));
        }
        RoutingTable table = new RoutingTable(Map.of(TARGET, replicas), Set.of(TARGET));
        for (int number = 0; number < daemons; number++) {
            Daemon daemon = new Daemon(number);
            mDaemons.add(daemon);
            mMembers.add(daemon.mId);
            daemon.start(table);
            mTime.every(TICK, () -> daemon.decide(new RoutingEvent.TimerFired()));
        }
    }

    /** Sets the share of the messages between daemons that are lost. */
    void lossRate(double rate) {
        mLossRate = rate;
    }

    /** Lets calls arrive; the first daemon gets a share of them, the others divide the rest. */
    void calls(double perSecond, double shareOfFirst, Duration deadline) {
        Daemon daemon =
                mRandom.nextDouble() < shareOfFirst
                        ? mDaemons.get(0)
                        : mDaemons.get(mRandom.nextInt(mDaemons.size()));
        Instant until = mTime.now().plus(deadline);
        if (!daemon.mEnded && !daemon.mSuspended) {
            daemon.decide(
                    new RoutingEvent.CallArrived(
                            new CallRequest(
                                    new CallId(mNextCall++),
                                    TARGET,
                                    null,
                                    0,
                                    until,
                                    0,
                                    Repetition.REPEATABLE,
                                    2,
                                    DeadlineScope.FIRST_BYTE,
                                    until,
                                    Prompt.UNKNOWN,
                                    CallOrigin.UNKNOWN)));
        }
        double pause = -Math.log(1 - mRandom.nextDouble()) / perSecond;
        mTime.after(
                Duration.ofNanos((long) (pause * 1e9)),
                () -> calls(perSecond, shareOfFirst, deadline));
    }

    void run(Duration time) {
        mTime.advance(time);
    }

    /** Ends the daemon that issues the permits of a replica; the others see that later. */
    void endIssuer(int replica, Duration seenAfter) {
        Daemon issuer = issuers(new EndpointId("r" + replica)).get(0);
        issuer.mEnded = true;
        mTime.after(
                seenAfter,
                () -> {
                    Set<MemberId> members = new HashSet<>(mMembers);
                    members.remove(issuer.mId);
                    mMembers = members;
                });
    }

    /** Suspends the daemon that issues the permits of a replica. */
    void suspendIssuer(int replica, Duration time) {
        Daemon issuer = issuers(new EndpointId("r" + replica)).get(0);
        issuer.mSuspended = true;
        mTime.after(time, issuer::resume);
    }

    /** Lets every other daemon lose its messages to the daemon that issues a replica's permits. */
    void cutFromIssuer(int replica) {
        Daemon issuer = issuers(new EndpointId("r" + replica)).get(0);
        for (int number = 0; number < mDaemons.size(); number += 2) {
            Daemon daemon = mDaemons.get(number);
            if (daemon != issuer) {
                daemon.mUnreachable.add(issuer.mId);
            }
        }
    }

    /** Lets a replica name no limit any more. */
    void endLimit(int replica) {
        mEndpoints.get(new EndpointId("r" + replica)).mLimit = 0;
    }

    /** Returns the calls that a replica got within a time until now. */
    int callsWithin(int replica, Duration time) {
        Instant from = mTime.now().minus(time);
        return (int)
                mEndpoints.get(new EndpointId("r" + replica)).mArrivals.stream()
                        .filter(arrival -> arrival.at().isAfter(from))
                        .count();
    }

    int served() {
        return mServed;
    }

    int refused() {
        return mRefused;
    }

    /**
     * Returns by how many calls a replica got more than its limit allows, in the worst window;
     * negative if it got less in all of them.
     */
    int worstExcess() {
        int worst = Integer.MIN_VALUE;
        for (Endpoint endpoint : mEndpoints.values()) {
            worst = Math.max(worst, endpoint.worstExcess());
        }
        return worst;
    }

    private List<Daemon> issuers(EndpointId endpoint) {
        List<MemberId> ranked =
                RendezvousRanking.top(
                        endpoint.value(), mMembers, MemberId::value, IssuerRank.values().length);
        List<Daemon> issuers = new ArrayList<>();
        ranked.forEach(id -> issuers.add(daemon(id)));
        return issuers;
    }

    private Daemon daemon(MemberId id) {
        return mDaemons.stream().filter(daemon -> daemon.mId.equals(id)).findFirst().orElseThrow();
    }

    private void send(Daemon from, Daemon to, Runnable message) {
        if (mRandom.nextDouble() < mLossRate || from.mUnreachable.contains(to.mId)) {
            return;
        }
        mTime.after(MESSAGE, () -> to.receive(message));
    }

    /** A daemon with its decider and its issuer. */
    private final class Daemon {
        private final MemberId mId;
        private final DefaultRoutingDecider mDecider;
        private final PermitIssuer mIssuer = new PermitIssuer();
        private final Set<MemberId> mUnreachable = new HashSet<>();
        private final List<Runnable> mInbox = new ArrayList<>();
        private final Map<EndpointId, Instant> mTold = new HashMap<>();
        private boolean mEnded;
        private boolean mSuspended;
        private Instant mSuspendedUntil = Instant.MIN;

        Daemon(int number) {
            mId = new MemberId("vm-" + number);
            mDecider =
                    new DefaultRoutingDecider(
                            new LeastLoadedSelector(number),
                            new RefuseLateStartPolicy(),
                            new ResumingRetryPolicy(new SafeRetryPolicy()));
        }

        void start(RoutingTable table) {
            decide(new RoutingEvent.LimitsChanged(RoutingLimits.DEFAULT));
            decide(new RoutingEvent.AuthorityChanged(true));
            decide(new RoutingEvent.TableChanged(table));
        }

        void receive(Runnable message) {
            if (mSuspended) {
                mInbox.add(message);
            } else if (!mEnded) {
                message.run();
            }
        }

        void resume() {
            mSuspended = false;
            mSuspendedUntil = mTime.now();
            List<Runnable> inbox = List.copyOf(mInbox);
            mInbox.clear();
            inbox.forEach(this::receive);
        }

        void decide(RoutingEvent event) {
            if (mEnded || mSuspended) {
                return;
            }
            for (RoutingDecision decision : mDecider.decide(event, mTime.now())) {
                execute(decision);
            }
        }

        private void execute(RoutingDecision decision) {
            if (decision instanceof RoutingDecision.StartAttempt start) {
                mEndpoints.get(start.endpoint()).arrive(this, start);
            } else if (decision instanceof RoutingDecision.RequestPermits request) {
                request(request.request());
            } else if (decision instanceof RoutingDecision.FinishCall) {
                mServed++;
            } else if (decision instanceof RoutingDecision.Refuse) {
                mRefused++;
            }
        }

        private void request(PermitRequest request) {
            List<Daemon> issuers = issuers(request.endpoint());
            if (request.rank().ordinal() >= issuers.size()) {
                return;
            }
            Daemon issuer = issuers.get(request.rank().ordinal());
            send(this, issuer, () -> issuer.issue(request, this));
        }

        private void issue(PermitRequest request, Daemon to) {
            PermitGrant grant = mIssuer.issue(request, mTime.now());
            send(this, to, () -> to.decide(new RoutingEvent.PermitsGranted(grant)));
        }

        /** A response with the statement of a replica arrived. */
        void respond(EndpointId endpoint, EndpointStatement statement, AttemptId attempt) {
            boolean isLimited = statement.limit() instanceof StatedLimit.Limited;
            if (isLimited) {
                mTold.putIfAbsent(endpoint, mTime.now());
            }
            if (mReadsLimits) {
                decide(new RoutingEvent.EndpointStated(endpoint, statement));
            }
            decide(new RoutingEvent.ResponseBegan(attempt));
        }

        /** Returns whether the daemon's calls to a replica count against its limit. */
        boolean isBound(EndpointId endpoint) {
            Instant told = mTold.get(endpoint);
            boolean resumedLately = mSuspendedUntil.plus(SETTLE).isAfter(mTime.now());
            return told != null && !told.plus(TOLD_SLACK).isAfter(mTime.now()) && !resumedLately;
        }
    }

    /** A replica that serves all calls, and may name a limit. */
    private final class Endpoint {
        private final double mNamed;
        private final List<Arrival> mArrivals = new ArrayList<>();
        private double mLimit;
        private @Nullable Instant mFirstNamedAt;

        Endpoint(double limit) {
            mNamed = limit;
            mLimit = limit;
        }

        void arrive(Daemon daemon, RoutingDecision.StartAttempt start) {
            mArrivals.add(new Arrival(mTime.now(), mLimit > 0 && daemon.isBound(start.endpoint())));
            EndpointStatement statement =
                    mLimit > 0
                            ? new EndpointStatement(false, new StatedLimit.Limited(mLimit))
                            : EndpointStatement.NONE;
            if (mLimit > 0 && mFirstNamedAt == null) {
                mFirstNamedAt = mTime.now();
            }
            mTime.after(
                    FIRST_BYTE,
                    () ->
                            daemon.receive(
                                    () ->
                                            daemon.respond(
                                                    start.endpoint(), statement, start.attempt())));
            mTime.after(
                    CALL,
                    () ->
                            daemon.receive(
                                    () ->
                                            daemon.decide(
                                                    new RoutingEvent.AttemptFinished(
                                                            start.attempt(),
                                                            new AttemptOutcome.Completed()))));
        }

        int worstExcess() {
            Instant firstNamedAt = mFirstNamedAt;
            if (firstNamedAt == null) {
                return Integer.MIN_VALUE;
            }
            List<Instant> counted = new ArrayList<>();
            for (Arrival arrival : mArrivals) {
                if (arrival.counts() && !arrival.at().isBefore(firstNamedAt.plus(SETTLE))) {
                    counted.add(arrival.at());
                }
            }
            int worst = 0;
            int first = 0;
            for (int last = 0; last < counted.size(); last++) {
                while (!counted.get(first).plus(WINDOW).isAfter(counted.get(last))) {
                    first++;
                }
                worst = Math.max(worst, last - first + 1);
            }
            double allowed = FACTOR * mNamed * WINDOW.toSeconds() + EXTRA_CALLS;
            return worst - (int) Math.floor(allowed);
        }
    }

    /** A call that reached a replica, and whether it counts against the limit. */
    private record Arrival(Instant at, boolean counts) {}
}
