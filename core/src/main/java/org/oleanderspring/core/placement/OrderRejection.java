package org.oleanderspring.core.placement;

/** Why a runner refused an order. */
public enum OrderRejection {
    /** The runner has seen a higher fencing token. */
    STALE_TOKEN,
    /** The runner has not enough free memory. */
    NO_MEMORY,
    /** The weight store or the runner does not know the checkpoint. */
    UNKNOWN_CHECKPOINT,
    /** The base model of the adapter is not loaded. */
    BASE_NOT_LOADED,
    /** The runner is leaving. */
    DRAINING,
    /** The runner does not support the order. */
    UNSUPPORTED
}
