package org.oleanderspring.core.placement;

/** The reason for which a runner rejected an order. */
public enum OrderRejection {
    /** The runner has already accepted a higher fencing token. */
    STALE_TOKEN,
    /** The runner does not have enough free memory. */
    NO_MEMORY,
    /** The weight store or the runner does not know the checkpoint. */
    UNKNOWN_CHECKPOINT,
    /** The base model of the adapter is not loaded. */
    BASE_NOT_LOADED,
    /** The runner is shutting down and takes no new work. */
    DRAINING,
    /** The runner does not support this kind of order. */
    UNSUPPORTED
}
