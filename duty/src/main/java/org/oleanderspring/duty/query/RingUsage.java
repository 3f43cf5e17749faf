package org.oleanderspring.duty.query;

/** Fill level of a ring buffer and its count of rejected events; readable on any thread. */
public interface RingUsage {
    /** Returns the capacity of the ring in events. */
    long capacity();

    /** Returns the number of events that are waiting or being handled. */
    long used();

    /** Returns how many offers were rejected since the start because the ring was full. */
    long rejectedOffers();
}
