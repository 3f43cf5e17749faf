package org.oleanderspring.core.routing;

/** How an attempt ended. */
public sealed interface AttemptOutcome {
    /**
     * The complete response was passed on to the caller.
     *
     * @param isDelimited whether the response stated its length or was sent in chunks; otherwise
     *     its end is that of the connection, which does not show whether the endpoint has ended
     */
    record Completed(boolean isDelimited) implements AttemptOutcome {
        /** Creates the outcome for a response with a length or in chunks. */
        public Completed() {
            this(true);
        }
    }

    /**
     * The endpoint provably did not start the work.
     *
     * @param reason the cause, for the log
     * @param endpointDraining whether the endpoint reported that it accepts no new work
     */
    record NotRun(String reason, boolean endpointDraining) implements AttemptOutcome {}

    /**
     * The attempt failed, and the work may have run.
     *
     * @param reason the cause, for the log
     * @param responseBegan whether a part of the response was already passed on to the caller
     * @param connectionLost whether the endpoint closed or reset the connection before the end of
     *     its response
     */
    record Failed(String reason, boolean responseBegan, boolean connectionLost)
            implements AttemptOutcome {
        /**
         * Creates the outcome of an attempt whose connection the endpoint kept.
         *
         * @param reason the cause, for the log
         * @param responseBegan whether a part of the response was already passed on to the caller
         */
        public Failed(String reason, boolean responseBegan) {
            this(reason, responseBegan, false);
        }
    }

    /**
     * The attempt failed before anything was sent to the endpoint.
     *
     * @param reason the cause, for the log
     */
    record NotSent(String reason) implements AttemptOutcome {}

    /**
     * The endpoint did not run the work because it does not hold the requested model.
     *
     * @param reason the response of the endpoint, for the log
     */
    record NotHeld(String reason) implements AttemptOutcome {}
}
