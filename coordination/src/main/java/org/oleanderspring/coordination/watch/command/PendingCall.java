package org.oleanderspring.coordination.watch.command;

import java.time.Duration;
import java.time.Instant;
import org.oleanderspring.coordination.store.StoreOperationId;

/**
 * A call of a watch that has not ended.
 *
 * @param id its identity
 * @param sentAt when it was sent
 * @param giveUpAt when it counts as failed without an answer
 * @param isProbe whether it was sent while the contact to the service was in doubt
 * @param longestWait how long the service may delay its answer
 */
record PendingCall(
        StoreOperationId id,
        Instant sentAt,
        Instant giveUpAt,
        boolean isProbe,
        Duration longestWait) {}
