package org.oleanderspring.duty.query;

import java.time.Duration;

/**
 * Fill level of a ring buffer, the wait of its events and its count of rejected events; readable on
 * any thread.
 */
public interface RingUsage {
    /** Returns the capacity of the ring in events. */
    long capacity();

    /** Returns the number of events that are waiting or being handled. */
    long used();

    /** Returns how long the event that was taken last had waited; zero before the first event. */
    Duration lastWait();

    /** Returns for how long events have been handled since the start. */
    Duration busy();

    /** Returns how many offers were rejected since the start because the ring was full. */
    long rejectedOffers();
}
