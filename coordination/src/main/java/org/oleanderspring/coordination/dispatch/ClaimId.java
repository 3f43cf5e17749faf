package org.oleanderspring.coordination.dispatch;

import java.util.Objects;
import org.oleanderspring.coordination.membership.MemberId;

/**
 * Identifies one request for a dispatch record.
 *
 * @param origin the daemon run that accepted the call
 * @param number the request number, unique within that daemon run
 */
public record ClaimId(MemberId origin, long number) {
    /** Rejects a null origin. */
    public ClaimId {
        Objects.requireNonNull(origin, "origin");
    }

    @Override
    public String toString() {
        return origin + "/" + number;
    }
}
