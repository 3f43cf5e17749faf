package org.oleanderspring.core.placement.command;

import java.util.Comparator;

/**
 * Serves the request with the earliest deadline first, and the one with more waiting calls at equal
 * deadlines. A request that cannot be in time any more comes after all that can, since it would
 * otherwise delay those past their deadlines as well.
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
