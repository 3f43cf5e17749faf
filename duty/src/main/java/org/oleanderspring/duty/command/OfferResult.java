package org.oleanderspring.duty.command;

/** What became of an event offered to a ring. */
public enum OfferResult {
    /** The event is in the ring and will be handled. */
    ACCEPTED,
    /** The ring has no free place; the event was not taken. */
    FULL,
    /** The duty has been stopped; the event was not taken. */
    STOPPED
}
