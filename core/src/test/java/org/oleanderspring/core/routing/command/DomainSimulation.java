package org.oleanderspring.core.routing.command;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.FailureDomain;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.Target;

/**
 * Failure domains whose daemons decide apart. Each daemon knows its own calls at once, and those of
 * the others as they were some time ago.
 */
final class DomainSimulation {
    private static final int ENDPOINTS = 4;
    private static final int SLOTS = 8;
    private static final int DAEMONS = 6;
    private static final int STEPS_PER_SECOND = 100;
    private static final Target TARGET = new Target.ServiceTarget(new ServiceName("assistant"));

    private final Random mRandom;
    private final int mDomains;
    private final int mReportSteps;
    private final double[] mPace;
    private final List<EndpointSelector> mSelectors = new ArrayList<>();
    private final Deque<int[]> mReports = new ArrayDeque<>();
    private final int[][] mCalls;
    private final int[] mTotal;
    private final int[] mArrived;
    private final int[] mLeft;
    private long mNextCall = 1;
    private double mWaiting;

    DomainSimulation(long seed, int domains, double price, double reportDelaySeconds) {
        mRandom = new Random(seed);
        mDomains = domains;
        mReportSteps = (int) (reportDelaySeconds * STEPS_PER_SECOND);
        mPace = new double[domains];
        mCalls = new int[domains * DAEMONS][domains * ENDPOINTS];
        mTotal = new int[domains * ENDPOINTS];
        mArrived = new int[domains];
        mLeft = new int[domains];
        for (int domain = 0; domain < domains; domain++) {
            mPace[domain] = 1;
            for (int daemon = 0; daemon < DAEMONS; daemon++) {
                EndpointSelector leastLoaded = new LeastLoadedSelector(mRandom.nextLong());
                mSelectors.add(new NearDomainSelector(domain(domain), price, leastLoaded));
            }
        }
    }

    private static FailureDomain domain(int number) {
        return new FailureDomain("d" + number);
    }

    void pace(int domain, double pace) {
        mPace[domain] = pace;
    }

    /**
     * Runs for some seconds.
     *
     * @param loads the arrivals in each domain, relative to what its endpoints can serve
     */
    void run(int seconds, double... loads) {
        for (int step = 0; step < seconds * STEPS_PER_SECOND; step++) {
            mReports.addLast(mTotal.clone());
            while (mReports.size() > mReportSteps + 1) {
                mReports.removeFirst();
            }
            for (int domain = 0; domain < mDomains; domain++) {
                double rate = loads[domain] * ENDPOINTS * SLOTS / STEPS_PER_SECOND;
                for (double left = rate; mRandom.nextDouble() < left; left--) {
                    arrive(domain);
                }
            }
            for (int endpoint = 0; endpoint < mTotal.length; endpoint++) {
                serve(endpoint);
            }
        }
    }

    private void arrive(int domain) {
        int daemon = domain * DAEMONS + mRandom.nextInt(DAEMONS);
        Instant deadline = Instant.EPOCH;
        CallRequest call = new CallRequest(new CallId(mNextCall++), TARGET, null, 0, deadline, 0);
        int chosen =
                mSelectors.get(daemon).select(call, new Candidates(daemon)).orElseThrow().index();
        mCalls[daemon][chosen]++;
        mTotal[chosen]++;
        mArrived[domain]++;
        mLeft[domain] += chosen / ENDPOINTS == domain ? 0 : 1;
    }

    /** Ends calls of about a second, as many at a time as there are slots. */
    private void serve(int endpoint) {
        double rate =
                Math.min(SLOTS, mTotal[endpoint])
                        / (mPace[endpoint / ENDPOINTS] * STEPS_PER_SECOND);
        mWaiting += Math.max(0, mTotal[endpoint] - SLOTS);
        if (mTotal[endpoint] == 0 || mRandom.nextDouble() >= rate) {
            return;
        }
        int ending = mRandom.nextInt(mTotal[endpoint]);
        for (int[] calls : mCalls) {
            ending -= calls[endpoint];
            if (ending < 0) {
                calls[endpoint]--;
                mTotal[endpoint]--;
                return;
            }
        }
    }

    /** Returns the share of the calls of a domain that left it. */
    double leaving(int domain) {
        return (double) mLeft[domain] / mArrived[domain];
    }

    /** Returns the average time for which a call waited at an endpoint, in seconds. */
    double waitingSeconds() {
        return mWaiting / STEPS_PER_SECOND / (mNextCall - 1);
    }

    /** The endpoints as one daemon knows them. */
    private final class Candidates implements ReplicaCandidates {
        private final int mDaemon;

        Candidates(int daemon) {
            mDaemon = daemon;
        }

        @Override
        public int size() {
            return mTotal.length;
        }

        @Override
        public EndpointId endpoint(int index) {
            return new EndpointId("r" + index);
        }

        @Override
        public boolean isAvailable(int index) {
            return true;
        }

        @Override
        public double load(int index) {
            // All calls as reported, or this daemon's own ones if it has more by now.
            int known = Math.max(mReports.getFirst()[index], mCalls[mDaemon][index]);
            return EndpointPace.equivalentCalls(known, mPace[index / ENDPOINTS]);
        }

        @Override
        public int concurrency(int index) {
            return SLOTS;
        }

        @Override
        public FailureDomain failureDomain(int index) {
            return domain(index / ENDPOINTS);
        }
    }
}
