package org.oleanderspring.daemon.dispatch.command;

import org.oleanderspring.coordination.dispatch.command.ClaimResult;
import org.oleanderspring.core.routing.CallId;

/** Receives the results of claims, on the dispatch thread. */
@FunctionalInterface
public interface ClaimListener {
    /**
     * Called once for each claim of a local call.
     *
     * @param call the call
     * @param result whether the call may start
     */
    void claimSettled(CallId call, ClaimResult result);
}
