package org.oleanderspring.coordination.dispatch.command;

import org.oleanderspring.coordination.dispatch.RecordState;

/** Whether a call may be started. */
public sealed interface ClaimResult {
    /** The record was written for this claim; the call may be started once. */
    record Claimed() implements ClaimResult {}

    /**
     * An earlier claim of the same key exists; the call must not be started.
     *
     * @param state how far the earlier call has come
     */
    record AlreadyClaimed(RecordState state) implements ClaimResult {}

    /**
     * The claim could not be settled and its call must not be started.
     *
     * @param reason why, for the log and the caller
     */
    record Unavailable(String reason) implements ClaimResult {}
}
