package org.oleanderspring.core.routing.command;

import java.util.Optional;
import org.oleanderspring.core.routing.CallRequest;

/** Chooses the replica that serves a call. */
public interface EndpointSelector {
    /**
     * Chooses one of the available candidates.
     *
     * @param call the call
     * @param candidates the replicas of its target
     * @return the choice, or empty if no candidate is available
     */
    Optional<EndpointChoice> select(CallRequest call, ReplicaCandidates candidates);
}
