package org.oleanderspring.daemon.routing.command;

import java.time.Instant;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.core.routing.CallId;

/**
 * Requests dispatch records, which ensure that a non-idempotent call is started only once. The
 * results arrive as routing events.
 */
public interface ClaimCommands {
    /**
     * Requests the record that permits the start of a call.
     *
     * @param call the call
     * @param key its idempotency key
     * @param deadline the time after which the result is not needed any more
     */
    void claim(CallId call, IdempotencyKey key, Instant deadline);

    /**
     * Records the outcome of a call.
     *
     * @param key its idempotency key
     * @param state the state of the record after the call
     */
    void recordOutcome(IdempotencyKey key, RecordState state);
}
