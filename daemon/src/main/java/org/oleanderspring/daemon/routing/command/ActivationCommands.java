package org.oleanderspring.daemon.routing.command;

import java.time.Instant;
import org.oleanderspring.core.fleet.ModelName;

/** Sends wake requests to the daemon that decides on placement. */
@FunctionalInterface
public interface ActivationCommands {
    /**
     * Asks for a model to be loaded.
     *
     * @param model the model or adapter
     * @param earliestDeadline the earliest deadline among the waiting calls
     * @param waiting how many calls wait
     */
    void wake(ModelName model, Instant earliestDeadline, int waiting);
}
