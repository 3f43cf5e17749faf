package org.oleanderspring.core.routing.command;

import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.organisation.TokenCount;

/**
 * The memory of an endpoint for the tokens of the calls that it holds, waiting and running.
 *
 * <p>The calls of this daemon count with the tokens that they name, from their start to their end.
 * Reports about other daemons name their calls only; each of them counts as an average call of this
 * daemon. Reports are late, and calls of other daemons may be on their way, so a part of the memory
 * is kept free. A call to an endpoint that holds no other needs no free part.
 */
final class EndpointMemory {
    /** The part of the memory that is kept free is one in this number. */
    private static final int FREE_PART = 8;

    private static final double SAMPLE_WEIGHT = 0.1;

    private long mCapacity;
    private long mHeld;
    private int mHeldCalls;
    private double mAverage;

    /** Sets the number of tokens that fit; 0 if it is not known. */
    void capacity(long capacity) {
        mCapacity = capacity;
    }

    /** Called when a call starts at the endpoint. */
    void add(@Nullable TokenCount tokens) {
        mHeldCalls++;
        if (tokens != null) {
            mHeld += tokens.total();
            mAverage += (mAverage == 0 ? 1 : SAMPLE_WEIGHT) * (tokens.total() - mAverage);
        }
    }

    /** Called when a call at the endpoint has ended. */
    void remove(@Nullable TokenCount tokens) {
        mHeldCalls--;
        mHeld -= tokens == null ? 0 : tokens.total();
    }

    /**
     * Returns whether a call fits beside those that the endpoint holds.
     *
     * @param tokens the tokens of the call, or null if it does not name them
     * @param callsOfAllDaemons the calls that the endpoint holds
     */
    boolean hasRoom(@Nullable TokenCount tokens, int callsOfAllDaemons) {
        if (mCapacity == 0 || tokens == null) {
            return true;
        }
        if (callsOfAllDaemons == 0) {
            return canHold(tokens);
        }
        int callsOfOthers = Math.max(0, callsOfAllDaemons - mHeldCalls);
        double average = mAverage == 0 ? tokens.total() : mAverage;
        double needed = mHeld + callsOfOthers * average + tokens.total();
        return needed <= mCapacity - mCapacity / FREE_PART;
    }

    /** Returns whether a call fits into the endpoint if it holds no other. */
    boolean canHold(@Nullable TokenCount tokens) {
        return mCapacity == 0 || tokens == null || tokens.total() <= mCapacity;
    }
}
