package org.oleanderspring.core.placement.command;

import java.util.Comparator;

/** Selects the runner that loads a checkpoint. */
public interface RunnerSelector {
    /** Returns the comparator of candidates. The smallest candidate is selected. */
    Comparator<RunnerCandidate> preference();
}
