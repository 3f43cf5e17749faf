package org.oleanderspring.daemon.gateway.permit.command;

import java.util.Objects;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.permit.PermitRequest;

/** An event in the ring of the permit duty. */
public sealed interface PermitInput {
    /**
     * A daemon asks for permits.
     *
     * @param daemon the daemon
     * @param request the request
     */
    record Requested(MemberId daemon, PermitRequest request) implements PermitInput {
        /** Rejects null components. */
        public Requested {
            Objects.requireNonNull(daemon, "daemon");
            Objects.requireNonNull(request, "request");
        }
    }
}
