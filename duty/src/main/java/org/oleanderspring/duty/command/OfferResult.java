package org.oleanderspring.duty.command;

/** Result of offering an event to a ring. */
public enum OfferResult {
    /** The event was added to the ring and will be handled. */
    ACCEPTED,
    /** The ring is full; the event was not added. */
    FULL,
    /** The duty has been stopped; the event was not added. */
    STOPPED
}
