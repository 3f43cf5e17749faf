package org.oleanderspring.daemon.dispatch.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.dispatch.ClaimId;
import org.oleanderspring.core.routing.CallId;

/** The unsettled claims of the calls that this daemon accepted. */
final class PendingClaims {
    private final Map<ClaimId, PendingClaim> mClaims = new HashMap<>();

    private record PendingClaim(CallId call, Instant deadline) {}

    void add(ClaimId claim, CallId call, Instant deadline) {
        mClaims.put(claim, new PendingClaim(call, deadline));
    }

    boolean isEmpty() {
        return mClaims.isEmpty();
    }

    /** Removes a claim and returns its call, or null if the claim is already settled. */
    @Nullable CallId take(ClaimId claim) {
        PendingClaim pending = mClaims.remove(claim);
        return pending == null ? null : pending.call();
    }

    /** Removes the claims whose deadline has passed, and returns their calls. */
    List<CallId> takeExpired(Instant now) {
        List<CallId> expired = new ArrayList<>();
        mClaims.values()
                .removeIf(
                        pending -> {
                            boolean isExpired = !now.isBefore(pending.deadline());
                            if (isExpired) {
                                expired.add(pending.call());
                            }
                            return isExpired;
                        });
        return expired;
    }
}
