package org.oleanderspring.core.placement;

/** Why a slot was reserved. */
public enum SlotReason {
    /** Calls wait for the model. */
    WAKE,
    /** The operators' settings ask for a minimum of replicas. */
    MINIMUM,
    /** The ready replicas are busy. */
    SCALE_OUT,
    /** The history of the model shows a burst that is about to come. */
    PREWARM,
    /** The catalogue has a newer version. */
    NEW_VERSION,
    /** An adapter needs its base model. */
    BASE_OF_ADAPTER,
    /** The runner reported a checkpoint that the plan did not know. */
    FOUND
}
