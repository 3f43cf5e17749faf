package org.oleanderspring.core.placement.command;

import java.util.Comparator;

/** Decides which of several runners loads a checkpoint. */
public interface RunnerSelector {
    /** Returns the preference; the least candidate is taken. */
    Comparator<RunnerCandidate> preference();
}
