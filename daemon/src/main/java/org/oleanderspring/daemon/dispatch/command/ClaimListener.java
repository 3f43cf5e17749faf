package org.oleanderspring.daemon.dispatch.command;

import org.oleanderspring.coordination.dispatch.command.ClaimResult;
import org.oleanderspring.core.routing.CallId;

/** Is told of settled claims, on the dispatch thread. */
@FunctionalInterface
public interface ClaimListener {
    /**
     * The claim of a call was settled.
     *
     * @param call the call
     * @param result whether it may be started
     */
    void claimSettled(CallId call, ClaimResult result);
}
