package org.oleanderspring.core.routing;

/** How an endpoint takes new calls. */
public enum IntakeState {
    /** It takes calls. */
    OPEN,
    /** It takes calls at a limited rate, which it has named. */
    LIMITED,
    /** It takes calls, but answers them more slowly than others. */
    SLOW,
    /** It failed and gets no calls, or a single trial call. */
    FAILING,
    /** It turned a call away and wants none of this daemon for a time that it named. */
    TURNED_AWAY,
    /** It is about to shut down and gets no calls. */
    LEAVING
}
