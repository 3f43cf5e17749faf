package org.oleanderspring.core.placement.command;

import java.util.Comparator;

/**
 * Loads the request with the earliest deadline first, and at equal deadlines the one with more
 * waiting calls. Requests that can no longer meet their deadline come after all others, because
 * they would otherwise make those miss their deadlines too.
 */
public final class EarliestDeadlineFirst implements LoadOrderPolicy {
    private static final Comparator<LoadRequest> ORDER =
            Comparator.comparing((LoadRequest request) -> !request.isInTime())
                    .thenComparing(LoadRequest::deadline)
                    .thenComparing(LoadRequest::waiting, Comparator.reverseOrder())
                    .thenComparing(request -> request.checkpoint().name());

    @Override
    public Comparator<LoadRequest> order() {
        return ORDER;
    }
}
