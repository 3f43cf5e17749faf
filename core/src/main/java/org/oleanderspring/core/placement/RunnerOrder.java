package org.oleanderspring.core.placement;

import java.time.Instant;
import java.util.Objects;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;

/**
 * A command to a runner.
 *
 * @param id the identity
 * @param runner the runner
 * @param kind what to do
 * @param subject the model or adapter, or the role for {@link OrderKind#CHANGE_ROLE}
 * @param version the version to load
 * @param token the term of the sender
 * @param validUntil the sender does not send the order after this time
 */
public record RunnerOrder(
        OrderId id,
        EndpointId runner,
        OrderKind kind,
        ModelName subject,
        String version,
        FencingToken token,
        Instant validUntil) {
    /** Checks for missing parts. */
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
