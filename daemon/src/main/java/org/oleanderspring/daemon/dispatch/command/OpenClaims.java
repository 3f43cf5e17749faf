package org.oleanderspring.daemon.dispatch.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.dispatch.ClaimId;
import org.oleanderspring.core.routing.CallId;

/** The claims of this daemon's calls that are not settled. */
final class OpenClaims {
    private final Map<ClaimId, Open> mOpen = new HashMap<>();

    private record Open(CallId call, Instant deadline) {}

    void add(ClaimId claim, CallId call, Instant deadline) {
        mOpen.put(claim, new Open(call, deadline));
    }

    boolean isEmpty() {
        return mOpen.isEmpty();
    }

    /** Forgets a claim and returns its call, or null if the claim was settled before. */
    @Nullable CallId take(ClaimId claim) {
        Open open = mOpen.remove(claim);
        return open == null ? null : open.call();
    }

    /** Forgets the claims whose deadline has passed, and returns their calls. */
    List<CallId> takeExpired(Instant now) {
        List<CallId> expired = new ArrayList<>();
        mOpen.values()
                .removeIf(
                        open -> {
                            boolean over = !now.isBefore(open.deadline());
                            if (over) {
                                expired.add(open.call());
                            }
                            return over;
                        });
        return expired;
    }
}
