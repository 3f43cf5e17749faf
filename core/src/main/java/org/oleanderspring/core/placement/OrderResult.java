package org.oleanderspring.core.placement;

/** What a runner answered to an order. */
public sealed interface OrderResult {
    /** The runner took the order; its reports show the progress. */
    record Accepted() implements OrderResult {}

    /**
     * The runner refused the order and will not carry it out.
     *
     * @param reason why
     */
    record Rejected(OrderRejection reason) implements OrderResult {}

    /**
     * The order was not sent; the runner has not seen it.
     *
     * @param reason why, for the log
     */
    record NotSent(String reason) implements OrderResult {}

    /**
     * No answer arrived; the runner may have taken the order.
     *
     * @param reason why, for the log
     */
    record Unknown(String reason) implements OrderResult {}
}
