package org.oleanderspring.coordination.dispatch;

import java.util.Objects;
import org.oleanderspring.coordination.membership.MemberId;

/**
 * The identity of one request for a dispatch record.
 *
 * @param origin the daemon run that accepted the call
 * @param number the daemon's number of the request
 */
public record ClaimId(MemberId origin, long number) {
    /** Checks for a missing origin. */
    public ClaimId {
        Objects.requireNonNull(origin, "origin");
    }

    @Override
    public String toString() {
        return origin + "/" + number;
    }
}
