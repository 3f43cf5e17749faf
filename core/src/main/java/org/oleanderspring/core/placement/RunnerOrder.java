package org.oleanderspring.core.placement;

import java.time.Instant;
import java.util.Objects;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;

/**
 * A command sent to a runner.
 *
 * @param id the unique identifier of the order
 * @param runner the runner
 * @param kind the operation to perform
 * @param subject the model or adapter, or the role for {@link OrderKind#CHANGE_ROLE}
 * @param version the checkpoint version to load
 * @param token the fencing token, which is the term in which the sender decided the order
 * @param validUntil the time after which the sender no longer sends the order
 */
public record RunnerOrder(
        OrderId id,
        EndpointId runner,
        OrderKind kind,
        ModelName subject,
        String version,
        FencingToken token,
        Instant validUntil) {
    /** Rejects null components. */
    public RunnerOrder {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(runner, "runner");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(subject, "subject");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(token, "token");
        Objects.requireNonNull(validUntil, "validUntil");
    }
}
