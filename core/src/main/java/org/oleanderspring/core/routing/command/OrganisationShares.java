package org.oleanderspring.core.routing.command;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.organisation.OrganisationName;
import org.oleanderspring.core.organisation.TokenCount;
import org.oleanderspring.core.routing.CallRequest;

/**
 * Ranks waiting calls by urgency and then fairly among organisations: start-time fair queueing with
 * equal weights, in tokens.
 *
 * <p>Each organisation has a virtual time per urgency, which its calls advance by their cost. The
 * call whose organisation is furthest behind is served first. An organisation that had no calls
 * starts at the virtual time of the call served last, so it gains nothing by having waited. An
 * organisation with many calls is at most {@link #MAX_LEAD} tokens ahead of the others, so it is
 * served again soon after them. Calls within {@link #QUANTUM} tokens count as equal, so that their
 * deadlines decide.
 *
 * <p>Calls are ranked from the first call that names an organisation on. Those without one count as
 * one organisation.
 */
final class OrganisationShares {
    /** About as much as a few usual calls. */
    static final long QUANTUM = 4_096;

    /** The longest lead of an organisation, which bounds how long it waits for others. */
    static final long MAX_LEAD = 64 * QUANTUM;

    /** The cost of a call until one names its tokens. */
    private static final double USUAL_COST = 1_024;

    private static final double SAMPLE_WEIGHT = 0.05;

    private final Map<Integer, VirtualTimes> mTimes = new HashMap<>();
    private double mAverageCost = USUAL_COST;
    private boolean mInForce;

    /** Returns the rank of a call that begins to wait, and charges its organisation for it. */
    CallRank rank(CallRequest call) {
        mInForce |= call.origin().organisation() != null;
        if (!mInForce) {
            return CallRank.NONE;
        }
        double cost = cost(call.origin().tokens());
        double start = times(call.priority()).charge(organisation(call), cost);
        return new CallRank(call.priority(), (long) start / QUANTUM, cost);
    }

    /** Called when a waiting call starts. */
    void started(CallRank rank) {
        if (rank != CallRank.NONE) {
            times(rank.urgency()).advance(rank.share() * QUANTUM);
        }
    }

    /** Called when a call ends without having started; its organisation gets the cost back. */
    void withdrawn(CallRequest call, CallRank rank) {
        if (rank != CallRank.NONE) {
            times(rank.urgency()).refund(organisation(call), rank.cost());
        }
    }

    /** A call that does not name its tokens costs as much as the others on average. */
    private double cost(@Nullable TokenCount tokens) {
        if (tokens != null) {
            mAverageCost += SAMPLE_WEIGHT * (tokens.total() - mAverageCost);
            return tokens.total();
        }
        return mAverageCost;
    }

    private static Optional<OrganisationName> organisation(CallRequest call) {
        return Optional.ofNullable(call.origin().organisation());
    }

    private VirtualTimes times(int urgency) {
        return mTimes.computeIfAbsent(urgency, key -> new VirtualTimes());
    }

    /** The virtual times of the organisations for one urgency. */
    private static final class VirtualTimes {
        private final Map<Optional<OrganisationName>, Double> mNext = new HashMap<>();
        private double mNow;

        double charge(Optional<OrganisationName> organisation, double cost) {
            double start = Math.max(mNow, mNext.getOrDefault(organisation, mNow));
            start = Math.min(start, mNow + MAX_LEAD);
            mNext.put(organisation, start + cost);
            return start;
        }

        void refund(Optional<OrganisationName> organisation, double cost) {
            mNext.computeIfPresent(organisation, (name, next) -> next - cost);
        }

        void advance(double start) {
            if (start > mNow) {
                mNow = start;
                mNext.values().removeIf(next -> next <= mNow);
            }
        }
    }
}
