package org.oleanderspring.core.fleet;

import java.util.Objects;

/**
 * A checkpoint that occupies memory on a runner.
 *
 * @param name the name of the model or adapter
 * @param version the version of the weights
 * @param state the load state
 * @param activeCalls the number of calls that the runner serves with this checkpoint
 */
public record LoadedCheckpoint(ModelName name, String version, LoadState state, int activeCalls) {
    /** Rejects null components and a negative number of calls. */
    public LoadedCheckpoint {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(state, "state");
        if (activeCalls < 0) {
            throw new IllegalArgumentException(
                    "active calls of " + name + " are negative: " + activeCalls);
        }
    }
}
