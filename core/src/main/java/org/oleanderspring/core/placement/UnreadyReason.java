package org.oleanderspring.core.placement;

/** Why a model cannot become ready now. */
public enum UnreadyReason {
    /** The catalogue does not list the model. */
    UNKNOWN_CHECKPOINT,
    /** All replicas that the settings allow are taken by slots that cannot serve yet. */
    REPLICA_LIMIT,
    /** No runner has or can free enough memory. */
    NO_MEMORY,
    /** No runner of the cell takes new work, or all are backed off after failed loads. */
    NO_RUNNER,
    /** The plan of the cell has as many slots as one value of the key-value service holds. */
    PLAN_FULL
}
