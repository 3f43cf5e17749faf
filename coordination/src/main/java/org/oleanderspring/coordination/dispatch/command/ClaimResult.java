package org.oleanderspring.coordination.dispatch.command;

import org.oleanderspring.coordination.dispatch.RecordState;

/** The result of a claim: whether its call may be started. */
public sealed interface ClaimResult {
    /** The record was written for this claim; the call may be started once. */
    record Claimed() implements ClaimResult {}

    /**
     * An earlier claim of the same key exists; the call must not be started.
     *
     * @param state the state of the earlier call
     */
    record AlreadyClaimed(RecordState state) implements ClaimResult {}

    /**
     * No record could be confirmed for the claim, so its call must not be started. A record may
     * exist all the same, if its write took effect but was not confirmed in time.
     *
     * @param reason the cause, for log messages and the caller
     */
    record Unavailable(String reason) implements ClaimResult {}
}
