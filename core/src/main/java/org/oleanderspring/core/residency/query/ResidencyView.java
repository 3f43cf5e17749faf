package org.oleanderspring.core.residency.query;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.residency.Residency;
import org.oleanderspring.core.runner.HeldModel;
import org.oleanderspring.core.runner.RunnerEntry;

/**
 * Which models of a runner may get calls, from its own entry and from the statements of the daemon
 * that gives it orders.
 *
 * <p>The entry is written some time after a change, and not at once for adapters; a statement comes
 * within milliseconds. Both carry the count of accepted orders, so the one with the higher count is
 * the later one. At equal counts the statement counts, which may know an adapter that has arrived.
 */
public final class ResidencyView {
    /** A model that is still there after this time was not unloaded. */
    private static final Duration CLOSING_VALIDITY = Duration.ofSeconds(4);

    private final Map<EndpointId, Statement> mStatements = new HashMap<>();

    /** Creates a view without statements. */
    public ResidencyView() {}

    /**
     * Takes over a statement.
     *
     * @param residency the statement
     * @param now the current time
     * @return whether it is news
     */
    public boolean stated(Residency residency, Instant now) {
        Statement before = mStatements.get(residency.runner());
        if (before != null && !residency.isAfter(before.residency())) {
            return false;
        }
        mStatements.put(residency.runner(), new Statement(residency, now));
        return true;
    }

    /**
     * Forgets runners that are gone.
     *
     * @param present the runners that are there
     */
    public void retain(Set<EndpointId> present) {
        mStatements.keySet().retainAll(present);
    }

    /**
     * Returns the models of a runner that may get calls.
     *
     * @param entry the runner's entry
     * @param now the current time
     */
    public List<HeldModel> open(RunnerEntry entry, Instant now) {
        Statement statement = mStatements.get(entry.id());
        if (statement == null) {
            return entry.models();
        }
        Residency residency = statement.residency();
        boolean entryIsLater = entry.orders() > residency.orders();
        List<HeldModel> models = entryIsLater ? entry.models() : residency.models();
        if (residency.closing().isEmpty()
                || statement.at().plus(CLOSING_VALIDITY).isBefore(now)) {
            return models;
        }
        List<HeldModel> open = new ArrayList<>();
        for (HeldModel model : models) {
            ModelName name = model.name();
            if (!residency.closing().contains(name)) {
                open.add(model);
            }
        }
        return open;
    }

    /** A statement and when it came. */
    private record Statement(Residency residency, Instant at) {}
}
