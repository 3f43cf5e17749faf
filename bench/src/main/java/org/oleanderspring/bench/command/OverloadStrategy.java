package org.oleanderspring.bench.command;

import org.oleanderspring.core.routing.command.OverloadPolicy;
import org.oleanderspring.core.routing.command.RetryPolicy;

/**
 * What the daemon and the callers do under overload.
 *
 * @param name the name in the table
 * @param policy the daemon's policy
 * @param retryPolicy the daemon's policy for attempts that failed
 * @param callerSends how often a caller sends a call at most
 */
record OverloadStrategy(
        String name, OverloadPolicy policy, RetryPolicy retryPolicy, int callerSends) {}
