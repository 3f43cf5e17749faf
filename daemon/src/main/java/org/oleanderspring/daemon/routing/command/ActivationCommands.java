package org.oleanderspring.daemon.routing.command;

import java.time.Instant;
import org.oleanderspring.core.fleet.ModelName;

/**
 * Sends activation requests to the daemon that decides on placement. An activation request asks for
 * the load of a model that calls wait for.
 */
@FunctionalInterface
public interface ActivationCommands {
    /**
     * Requests the activation of a model.
     *
     * @param model the model or adapter
     * @param earliestDeadline the earliest deadline among the waiting calls
     * @param waiting the number of waiting calls
     */
    void requestActivation(ModelName model, Instant earliestDeadline, int waiting);
}
