package org.oleanderspring.core.routing;

/** How an attempt ended. */
public sealed interface AttemptOutcome {
    /** The whole answer was passed on to the caller. */
    record Completed() implements AttemptOutcome {}

    /**
     * The endpoint provably did not start the work.
     *
     * @param reason why, for the log
     * @param endpointDraining whether the endpoint said that it takes no new work
     */
    record NotRun(String reason, boolean endpointDraining) implements AttemptOutcome {}

    /**
     * The attempt failed and the work may have run.
     *
     * @param reason why, for the log
     * @param answerBegan whether a part of the answer was already passed on to the caller
     */
    record Failed(String reason, boolean answerBegan) implements AttemptOutcome {}

    /**
     * Nothing of the attempt was sent.
     *
     * @param reason why, for the log
     */
    record NotSent(String reason) implements AttemptOutcome {}

    /**
     * The endpoint did not run it because it does not hold what the call asks for.
     *
     * @param reason what the endpoint said, for the log
     */
    record NotHeld(String reason) implements AttemptOutcome {}
}
