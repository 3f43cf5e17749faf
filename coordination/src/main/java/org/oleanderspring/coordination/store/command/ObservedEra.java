package org.oleanderspring.coordination.store.command;

import org.oleanderspring.coordination.store.StoreEra;

/**
 * The highest era that the owner of this object has seen in answers of the key-value service. Not
 * thread-safe; each decider has its own.
 */
public final class ObservedEra {
    /** What an answer shows. */
    public enum Observation {
        /** The answer is of the era that is in force. */
        CURRENT,
        /** The answer is the first one of a later era. */
        RISEN,
        /** The answer is of an earlier era, so that what it says no longer holds. */
        STALE
    }

    private StoreEra mEra = StoreEra.UNKNOWN;

    /** Returns the highest era seen. */
    public StoreEra era() {
        return mEra;
    }

    /**
     * Records the era of an answer.
     *
     * @param era the era that the answer names
     * @return what the answer shows
     */
    public Observation observe(StoreEra era) {
        int order = era.compareTo(mEra);
        if (order > 0) {
            mEra = era;
            return Observation.RISEN;
        }
        return order == 0 ? Observation.CURRENT : Observation.STALE;
    }
}
