package org.oleanderspring.core.quarantine;

import java.util.Objects;

/**
 * A pattern whose calls a daemon refuses.
 *
 * @param pattern the pattern
 * @param isConfirmed whether a trial has confirmed that calls with the pattern crash runners
 * @param trial the number of the trial that this daemon may make now by letting one call through; 0
 *     if it may not
 */
public record RefusedPattern(PromptPattern pattern, boolean isConfirmed, int trial) {
    /** Rejects a null pattern and a negative number. */
    public RefusedPattern {
        Objects.requireNonNull(pattern, "pattern");
        if (trial < 0) {
            throw new IllegalArgumentException("number of the trial is negative: " + trial);
        }
    }
}
