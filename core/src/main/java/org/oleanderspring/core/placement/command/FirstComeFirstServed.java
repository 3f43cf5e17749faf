package org.oleanderspring.core.placement.command;

import java.util.Comparator;

/** Loads requests in their order of arrival. Used as a baseline in benchmarks. */
public final class FirstComeFirstServed implements LoadOrderPolicy {
    private static final Comparator<LoadRequest> ORDER =
            Comparator.comparing(LoadRequest::since)
                    .thenComparing(request -> request.checkpoint().name());

    @Override
    public Comparator<LoadRequest> order() {
        return ORDER;
    }
}
