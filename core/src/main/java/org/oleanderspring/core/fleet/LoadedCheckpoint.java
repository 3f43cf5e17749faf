package org.oleanderspring.core.fleet;

import java.util.Objects;

/**
 * A checkpoint that takes memory on a runner.
 *
 * @param name the model or adapter
 * @param version the version
 * @param state how far it is loaded
 * @param activeCalls how many calls it serves
 */
public record LoadedCheckpoint(ModelName name, String version, LoadState state, int activeCalls) {
    /** Checks the range. */
    public LoadedCheckpoint {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(state, "state");
        if (activeCalls < 0) {
            throw new IllegalArgumentException("active calls are negative: " + activeCalls);
        }
    }
}
