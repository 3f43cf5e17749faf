package org.oleanderspring.core.placement.command;

import java.util.Comparator;

/** Decides which of several loads starts first while the weight store is the bottleneck. */
public interface LoadOrderPolicy {
    /** Returns the order; the least request is served first. */
    Comparator<LoadRequest> order();
}
