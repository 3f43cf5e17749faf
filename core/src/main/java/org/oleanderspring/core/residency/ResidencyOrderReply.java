package org.oleanderspring.core.residency;

/** What a runner replied to an order. */
public enum ResidencyOrderReply {
    /** It is carrying the order out. */
    ACCEPTED,
    /** What the order asks for already holds. */
    FULFILLED,
    /** Another order is in progress, or the count of accepted orders differs. */
    CONFLICT,
    /** It has seen a higher fencing token. */
    FENCED,
    /** It does not know such an order. */
    INVALID,
    /** Another runner has the address. */
    OTHER_RUNNER,
    /** Nothing was sent. */
    NOT_SENT,
    /** There is no reply; the order may be carried out, also later. */
    UNKNOWN
}
