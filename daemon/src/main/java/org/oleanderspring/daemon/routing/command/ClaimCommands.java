package org.oleanderspring.daemon.routing.command;

import java.time.Instant;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.core.routing.CallId;

/** Asks for dispatch records; the results come back as routing events. */
public interface ClaimCommands {
    /**
     * Asks for a record that lets a call start once.
     *
     * @param call the call
     * @param key its idempotency key
     * @param deadline when the result is no longer of use
     */
    void claim(CallId call, IdempotencyKey key, Instant deadline);

    /**
     * Records how a call ended.
     *
     * @param key its idempotency key
     * @param state how it ended
     */
    void recordOutcome(IdempotencyKey key, RecordState state);
}
