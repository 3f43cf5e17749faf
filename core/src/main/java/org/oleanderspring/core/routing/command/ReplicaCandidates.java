package org.oleanderspring.core.routing.command;

import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.FailureDomain;

/** The replicas of one target as seen by an {@link EndpointSelector}. */
public interface ReplicaCandidates {
    /** Returns the number of replicas, available or not. */
    int size();

    /**
     * Returns the endpoint of a replica.
     *
     * @param index from 0 to {@link #size()} - 1
     */
    EndpointId endpoint(int index);

    /**
     * Returns whether a replica may receive a call now.
     *
     * @param index from 0 to {@link #size()} - 1
     */
    boolean isAvailable(int index);

    /**
     * Returns the work at the endpoint of a replica: the number of calls running there, as far as
     * this daemon knows; more if the endpoint is slow, and fewer, also below 0, if it is fast.
     *
     * @param index from 0 to {@link #size()} - 1
     */
    double load(int index);

    /**
     * Returns the number of calls that the endpoint of a replica runs at a time; further ones wait
     * there.
     *
     * @param index from 0 to {@link #size()} - 1
     */
    int concurrency(int index);

    /**
     * Returns the failure domain of the endpoint of a replica, or null if it is not known.
     *
     * @param index from 0 to {@link #size()} - 1
     */
    @Nullable FailureDomain failureDomain(int index);
}
