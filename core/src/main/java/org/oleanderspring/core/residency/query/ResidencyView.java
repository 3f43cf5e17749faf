package org.oleanderspring.core.residency.query;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.residency.Residency;
import org.oleanderspring.core.runner.HeldModel;
import org.oleanderspring.core.runner.RunnerRegistration;

/**
 * Which models of a runner may get calls, from its own entry and from the statements of the daemon
 * that gives it orders.
 *
 * <p>A statement comes within milliseconds of a change. An entry is written up to a heartbeat later
 * and may have been written before a change that a statement already tells. So after a statement,
 * entries that change within that time are not followed; one that changes later is, because it
 * shows a change of which no statement came.
 */
public final class ResidencyView {
    /** Longer than a heartbeat and the way of an entry through the store. */
    private static final Duration ENTRY_LAG = Duration.ofMillis(2_000);

    /** A model that is still there after this time was not unloaded. */
    private static final Duration CLOSING_VALIDITY = Duration.ofSeconds(4);

    private final Map<EndpointId, Statement> mStatements = new HashMap<>();
    private final Map<EndpointId, Entry> mEntries = new HashMap<>();

    /** Creates a view without statements. */
    public ResidencyView() {}

    /**
     * Takes over a statement.
     *
     * @param residency the statement
     * @param now the current time
     * @return whether it is news
     */
    public boolean applyStatement(Residency residency, Instant now) {
        Statement before = mStatements.get(residency.runner());
        if (before != null && !residency.isAfter(before.residency())) {
            return false;
        }
        mStatements.put(residency.runner(), new Statement(residency, now));
        return true;
    }

    /**
     * Takes over the registered runners.
     *
     * @param runners the runners
     * @param now the current time
     */
    public void applyEntries(List<RunnerRegistration> runners, Instant now) {
        Map<EndpointId, Entry> entries = new HashMap<>();
        for (RunnerRegistration runner : runners) {
            Entry before = mEntries.get(runner.id());
            boolean same = before != null && before.models().equals(runner.models());
            entries.put(runner.id(), same ? before : new Entry(runner.models(), now));
        }
        mEntries.clear();
        mEntries.putAll(entries);
        mStatements.keySet().retainAll(entries.keySet());
    }

    /**
     * Returns the models of a runner that may get calls.
     *
     * @param runner the runner
     * @param now the current time
     */
    public List<HeldModel> routableModels(EndpointId runner, Instant now) {
        Entry entry = mEntries.get(runner);
        Statement statement = mStatements.get(runner);
        List<HeldModel> listed = entry == null ? List.of() : entry.models();
        if (statement == null) {
            return listed;
        }
        if (entry != null && entry.changedAt().isAfter(statement.at().plus(ENTRY_LAG))) {
            return listed;
        }
        Residency residency = statement.residency();
        if (statement.at().plus(CLOSING_VALIDITY).isBefore(now)) {
            return residency.models();
        }
        return without(residency.models(), residency);
    }

    private static List<HeldModel> without(List<HeldModel> models, Residency residency) {
        List<HeldModel> open = new ArrayList<>();
        for (HeldModel model : models) {
            if (!residency.closing().contains(model.name())) {
                open.add(model);
            }
        }
        return open;
    }

    /** A statement and when it came. */
    private record Statement(Residency residency, Instant at) {}

    /** The models of an entry and when they changed. */
    private record Entry(List<HeldModel> models, Instant changedAt) {}
}
