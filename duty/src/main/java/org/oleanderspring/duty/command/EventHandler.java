package org.oleanderspring.duty.command;

/**
 * Handles the events of one duty. Called only on that duty's thread.
 *
 * @param <T> the type of event
 */
@FunctionalInterface
public interface EventHandler<T> {
    /**
     * Handles one event. An exception is logged, and the duty continues with the next event.
     *
     * @param event the event
     */
    void handle(T event);
}
