package org.oleanderspring.core.residency;

/** The outcome of sending an order to a runner. */
public enum ResidencyOrderReply {
    /** The runner accepted the order and executes it. */
    ACCEPTED,
    /** The runner is already in the state that the order asks for. */
    FULFILLED,
    /** Another order is in progress, or the runner's count of accepted orders differs. */
    CONFLICT,
    /** The runner has already accepted a higher fencing token. */
    FENCED,
    /** The runner does not support the order. */
    INVALID,
    /** Another runner now uses the address. */
    OTHER_RUNNER,
    /** The order was not sent. */
    NOT_SENT,
    /** No reply arrived. The runner may execute the order now or later. */
    UNKNOWN
}
