package org.oleanderspring.core.routing.command;

import java.util.Optional;
import org.oleanderspring.core.routing.CallRequest;

/** Load-balancing strategy: chooses the replica that serves a call. */
public interface EndpointSelector {
    /**
     * Chooses one of the available candidates.
     *
     * @param call the call to start
     * @param candidates the replicas of the target of the call
     * @return the choice, or empty if no candidate is available
     */
    Optional<EndpointChoice> select(CallRequest call, ReplicaCandidates candidates);
}
