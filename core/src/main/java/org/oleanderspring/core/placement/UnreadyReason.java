package org.oleanderspring.core.placement;

/** The reason for which a model cannot become ready in the current state of the cell. */
public enum UnreadyReason {
    /** The catalogue does not list the model. */
    UNKNOWN_CHECKPOINT,
    /** The replica limit is reached, and none of the slots can serve calls yet. */
    REPLICA_LIMIT,
    /** No runner has enough memory, even if idle models are unloaded. */
    NO_MEMORY,
    /** No runner of the cell takes new work, or all are in back-off after failed loads. */
    NO_RUNNER,
    /** The plan of the cell has reached the size limit of a value in the key-value service. */
    PLAN_FULL
}
