package org.oleanderspring.duty.command;

/**
 * Accepts events for a duty without blocking.
 *
 * @param <T> the type of event
 */
@FunctionalInterface
public interface EventSink<T> {
    /**
     * Offers an event.
     *
     * @param event the event
     * @return whether the event was taken; the offering side has to handle a refusal
     */
    OfferResult offer(T event);
}
