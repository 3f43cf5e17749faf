package org.oleanderspring.core.placement;

/** The result of sending an order to a runner. */
public sealed interface OrderResult {
    /** The runner accepted the order. Its later reports show the progress. */
    record Accepted() implements OrderResult {}

    /**
     * The runner rejected the order and will not execute it.
     *
     * @param reason the reason
     */
    record Rejected(OrderRejection reason) implements OrderResult {}

    /**
     * The order was not sent, so the runner cannot execute it.
     *
     * @param reason the reason, for the log
     */
    record NotSent(String reason) implements OrderResult {}

    /**
     * No reply arrived. The runner may have accepted the order.
     *
     * @param reason the reason, for the log
     */
    record Unknown(String reason) implements OrderResult {}
}
