package org.oleanderspring.core.permit;

/**
 * Which of the daemons that may issue the permits for an endpoint is asked, in the order in which
 * all daemons rank them.
 */
public enum IssuerRank {
    /** The daemon that issues the permits. */
    FIRST(1),

    /**
     * The daemon that is asked while the first one does not reply. Some daemons may still reach the
     * first one, so this one issues a part of the limit only.
     */
    SECOND(0.4);

    private final double mShare;

    IssuerRank(double share) {
        mShare = share;
    }

    /** Returns the share of the limit that a daemon of this rank issues. */
    public double share() {
        return mShare;
    }

    /** Returns the other rank. */
    public IssuerRank other() {
        return this == FIRST ? SECOND : FIRST;
    }
}
