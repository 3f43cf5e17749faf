package org.oleanderspring.core.routing.command;

import org.oleanderspring.core.fleet.EndpointId;

/** The replicas of one target as a selector sees them. */
public interface ReplicaCandidates {
    /** Returns how many replicas there are, available or not. */
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
     * Returns how many calls the endpoint of a replica runs, as far as this daemon knows.
     *
     * @param index from 0 to {@link #size()} - 1
     */
    int load(int index);
}
