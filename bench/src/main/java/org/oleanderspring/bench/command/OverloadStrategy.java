package org.oleanderspring.bench.command;

import org.oleanderspring.core.routing.command.OverloadPolicy;
import org.oleanderspring.core.routing.command.RetryPolicy;

/**
 * The behaviour of the daemon and of the callers under overload.
 *
 * @param name the name in the output table
 * @param overloadPolicy the daemon's policy for calls that find no free replica
 * @param retryPolicy the daemon's policy for failed attempts
 * @param maxCallerSends the maximum number of times that a caller sends a call; 1 for no retry
 */
record OverloadStrategy(
        String name, OverloadPolicy overloadPolicy, RetryPolicy retryPolicy, int maxCallerSends) {}
