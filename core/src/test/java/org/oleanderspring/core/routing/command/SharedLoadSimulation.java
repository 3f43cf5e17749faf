package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.load.command.EndpointLoadTracker;
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
 * Many daemons that send the calls of one model to its replicas. Each daemon sees a call or two at
 * a time, as in a fleet with many more daemons than replicas of a model.
 */
final class SharedLoadSimulation {
    private static final ServiceName SERVICE = new ServiceName("assistant");
    private static final Target TARGET =
            new Target.ServiceModelTarget(SERVICE, ModelReference.parse("m1"));
    private static final Instant START = Instant.EPOCH.plusSeconds(100);
    private static final int SLOTS = 12;
    private static final int DAEMONS = 38;

    /** Two replicas are then in use to 60 %, so that a single queue for both would hardly grow. */
    private double mCallsPerSecond = 7;

    private static final Duration FIRST_EVENT = Duration.ofMillis(60);
    private static final Duration CALL = Duration.ofMillis(2_000);
    private static final Duration REPORT_PERIOD = Duration.ofMillis(250);

    /** The number of different beginnings of prompts. */
    private static final int PREFIXES = 3;

    private final Random mRandom;
    private final boolean mShares;
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final Map<EndpointId, SimulatedEndpoint> mEndpoints = new HashMap<>();
    private final EndpointLoadTracker mTracker = new EndpointLoadTracker();
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final List<Duration> mFirstEvents = new ArrayList<>();
    private Instant mNow = START;
    private long mNextCall = 1;
    private long mNextEvent = 1;

    /**
     * Creates a simulation.
     *
     * @param seed the seed of the arrivals
     * @param shares whether the daemons share their loads
     * @param slowness the slowness of each replica
     */
    SharedLoadSimulation(long seed, boolean shares, double... slowness) {
        mRandom = new Random(seed);
        mShares = shares;
        List<Replica> replicas = new ArrayList<>();
        for (int number = 0; number < slowness.length; number++) {
            EndpointId id = new EndpointId("r" + number);
            mEndpoints.put(id, new SimulatedEndpoint(slowness[number]));
            replicas.add(new Replica(id, ReplicaState.READY, SLOTS));
        }
        for (int number = 0; number < DAEMONS; number++) {
            Daemon daemon = new Daemon(number);
            mDaemons.add(daemon);
            daemon.decide(new RoutingEvent.LimitsChanged(RoutingLimits.DEFAULT));
            daemon.decide(new RoutingEvent.AuthorityChanged(true));
            daemon.decide(
                    new RoutingEvent.TableChanged(
                            new RoutingTable(Map.of(TARGET, replicas), Set.of(TARGET))));
        }
    }

    /** Runs for some time, after any earlier run. */
    void run(Duration time) {
        if (mEvents.isEmpty()) {
            at(mNow, this::callArrives);
            if (mShares) {
                at(mNow, this::report);
            }
        }
        Instant end = mNow.plus(time);
        while (!mEvents.isEmpty() && mEvents.peek().at().isBefore(end)) {
            Event event = mEvents.remove();
            mNow = event.at();
            event.action().run();
        }
        mNow = end;
    }

    /** Changes the rate of arrivals from the next one on. */
    void callsPerSecond(double rate) {
        mCallsPerSecond = rate;
    }

    /** Changes the slowness of a replica from now on. */
    void slowness(int replica, double slowness) {
        mEndpoints.get(new EndpointId("r" + replica)).mSlowness = slowness;
    }

    /** Returns the number of calls that a replica received. */
    int calls(int replica) {
        return mEndpoints.get(new EndpointId("r" + replica)).mCalls;
    }

    /** Returns the share of all calls that a replica received. */
    double share(int replica) {
        int all = mEndpoints.values().stream().mapToInt(endpoint -> endpoint.mCalls).sum();
        return (double) mEndpoints.get(new EndpointId("r" + replica)).mCalls / all;
    }

    /** Returns the share of the answered calls whose first event came within a time. */
    double shareWithin(Duration time) {
        long within = mFirstEvents.stream().filter(first -> first.compareTo(time) <= 0).count();
        return (double) within / mFirstEvents.size();
    }

    private void at(Instant at, Runnable action) {
        mEvents.add(new Event(at, mNextEvent++, action));
    }

    private void callArrives() {
        long id = mNextCall++;
        Daemon daemon = mDaemons.get(mRandom.nextInt(DAEMONS));
        Instant deadline = mNow.plusSeconds(12);
        daemon.decide(
                new RoutingEvent.CallArrived(
                        new CallRequest(
                                new CallId(id),
                                TARGET,
                                null,
                                0,
                                deadline,
                                1 + mRandom.nextInt(PREFIXES),
                                Repetition.RESUMABLE,
                                2,
                                DeadlineScope.FULL_RESPONSE,
                                deadline,
                                Prompt.UNKNOWN,
                                CallOrigin.UNKNOWN)));
        double pause = -Math.log(1 - mRandom.nextDouble()) / mCallsPerSecond;
        at(mNow.plusNanos((long) (pause * 1e9)), this::callArrives);
    }

    private void report() {
        mDaemons.forEach(daemon -> daemon.decide(new RoutingEvent.EndpointUseReportDue()));
        RoutingEvent loads = new RoutingEvent.EndpointLoadsReported(mTracker.loads(mNow));
        mDaemons.forEach(daemon -> daemon.decide(loads));
        at(mNow.plus(REPORT_PERIOD), this::report);
    }

    /** A daemon with its decider. */
    private final class Daemon {
        private final MemberId mId;
        private final DefaultRoutingDecider mDecider;

        Daemon(int number) {
            mId = new MemberId("vm-" + number);
            mDecider =
                    new DefaultRoutingDecider(
                            new PrefixAffinitySelector(new LeastLoadedSelector(number)),
                            new RefuseLateStartPolicy(),
                            new ResumingRetryPolicy(new SafeRetryPolicy()));
        }

        void decide(RoutingEvent event) {
            for (RoutingDecision decision : mDecider.decide(event, mNow)) {
                if (decision instanceof RoutingDecision.StartAttempt start) {
                    mEndpoints.get(start.endpoint()).start(this, start.attempt(), mNow);
                } else if (decision instanceof RoutingDecision.ReportEndpointUse report) {
                    mTracker.report(mId, report.uses(), mNow);
                }
            }
        }
    }

    /** A replica that runs some calls at a time; the others wait for a slot. */
    private final class SimulatedEndpoint {
        private double mSlowness;
        private final List<Waiting> mWaiting = new ArrayList<>();
        private int mRunning;
        private int mCalls;

        SimulatedEndpoint(double slowness) {
            mSlowness = slowness;
        }

        void start(Daemon daemon, AttemptId attempt, Instant sentAt) {
            mCalls++;
            mWaiting.add(new Waiting(daemon, attempt, sentAt));
            fill();
        }

        private void fill() {
            while (mRunning < SLOTS && !mWaiting.isEmpty()) {
                Waiting next = mWaiting.remove(0);
                mRunning++;
                at(mNow.plus(slowed(FIRST_EVENT)), () -> begin(next));
                at(mNow.plus(slowed(CALL)), () -> end(next));
            }
        }

        private Duration slowed(Duration time) {
            return Duration.ofNanos((long) (time.toNanos() * mSlowness));
        }

        private void begin(Waiting call) {
            mFirstEvents.add(Duration.between(call.sentAt(), mNow));
            call.daemon().decide(new RoutingEvent.ResponseBegan(call.attempt()));
        }

        private void end(Waiting call) {
            mRunning--;
            call.daemon()
                    .decide(
                            new RoutingEvent.AttemptFinished(
                                    call.attempt(), new AttemptOutcome.Completed(true)));
            fill();
        }
    }

    private record Waiting(Daemon daemon, AttemptId attempt, Instant sentAt) {}

    /**
     * Something that happens at a time; events of one time happen in the order of their numbers.
     */
    private record Event(Instant at, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = at.compareTo(other.at);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }
}
