package org.oleanderspring.core.placement;

/** The reason for which a slot was reserved. */
public enum SlotReason {
    /** Calls wait for the model. */
    WAKE,
    /** The settings require a minimum number of replicas. */
    MINIMUM,
    /** The ready replicas do not have enough capacity for the current calls. */
    SCALE_OUT,
    /** The usage history of the model predicts calls soon. */
    PREWARM,
    /** The catalogue has a newer version of the checkpoint. */
    NEW_VERSION,
    /** The model is the base of an adapter that is to be loaded. */
    BASE_OF_ADAPTER,
    /** The runner reported a checkpoint for which the plan had no slot. */
    FOUND
}
