package org.oleanderspring.duty.command;

/**
 * Handles the events of one duty, always on that duty's thread.
 *
 * @param <T> the type of event
 */
@FunctionalInterface
public interface EventHandler<T> {
    /**
     * Handles one event.
     *
     * @param event the event
     */
    void handle(T event);
}
