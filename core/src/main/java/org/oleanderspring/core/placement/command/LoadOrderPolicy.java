package org.oleanderspring.core.placement.command;

import java.util.Comparator;

/** Prioritizes load requests while the weight store limits the number of loads. */
public interface LoadOrderPolicy {
    /** Returns the comparator of requests. The smallest request is loaded first. */
    Comparator<LoadRequest> order();
}
