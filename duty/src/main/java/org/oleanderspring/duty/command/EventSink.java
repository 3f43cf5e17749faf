package org.oleanderspring.duty.command;

/**
 * Accepts events for a duty without blocking. May be called on any thread.
 *
 * @param <T> the type of event
 */
@FunctionalInterface
public interface EventSink<T> {
    /**
     * Offers an event.
     *
     * @param event the event
     * @return whether the event was accepted; the caller must handle an event that was not
     */
    OfferResult offer(T event);
}
