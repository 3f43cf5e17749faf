package org.oleanderspring.core.placement.command;

import java.util.Comparator;

/** Serves requests in the order in which they arrived; the baseline. */
public final class FirstComeFirstServed implements LoadOrderPolicy {
    private static final Comparator<LoadRequest> ORDER =
            Comparator.comparing(LoadRequest::since)
                    .thenComparing(request -> request.checkpoint().name());

    @Override
    public Comparator<LoadRequest> order() {
        return ORDER;
    }
}
