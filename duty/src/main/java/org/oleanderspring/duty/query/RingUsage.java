package org.oleanderspring.duty.query;

/** How full a ring is. */
public interface RingUsage {
    /** Returns the number of events that the ring can hold. */
    long capacity();

    /** Returns the number of events that wait or are being handled. */
    long used();

    /** Returns how many offers were turned down because the ring was full. */
    long rejectedOffers();
}
