package org.oleanderspring.core.placement;

import java.util.Objects;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;

/**
 * The key of a slot. A plan has at most one slot per runner and model or adapter.
 *
 * @param runner the runner
 * @param name the model or adapter
 */
public record SlotKey(EndpointId runner, ModelName name) implements Comparable<SlotKey> {
    /** Rejects null components. */
    public SlotKey {
        Objects.requireNonNull(runner, "runner");
        Objects.requireNonNull(name, "name");
    }

    @Override
    public int compareTo(SlotKey other) {
        int byRunner = runner.compareTo(other.runner);
        return byRunner != 0 ? byRunner : name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name + "@" + runner;
    }
}
