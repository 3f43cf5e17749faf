package org.oleanderspring.core.residency.query;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.residency.Residency;
import org.oleanderspring.core.runner.LoadedModel;
import org.oleanderspring.core.runner.RunnerRegistration;

/**
 * Determines which models of a runner may get calls, based on the runner's own registry entry and
 * on the statements of the daemon that sends orders to it.
 *
 * <p>A statement arrives within milliseconds of a change. A registry entry is written up to one
 * heartbeat later, so it may show the state before a change that a statement has already announced.
 * An entry that changes within that time after a statement is therefore ignored. An entry that
 * changes later is used, because it shows a change for which no statement arrived.
 */
public final class ResidencyView {
    /**
     * Longer than a heartbeat interval plus the propagation of an entry through the key-value
     * service.
     */
    private static final Duration ENTRY_LAG = Duration.ofMillis(2_000);

    /**
     * A closing model is routable again if no later statement arrives within this time, because it
     * was not unloaded.
     */
    private static final Duration CLOSING_VALIDITY = Duration.ofSeconds(4);

    private final Map<EndpointId, Statement> mStatements = new HashMap<>();
    private final Map<EndpointId, Entry> mEntries = new HashMap<>();

    /** Creates an empty view. */
    public ResidencyView() {}

    /**
     * Applies a statement unless a later one is known.
     *
     * @param residency the statement
     * @param now the current time
     * @return whether the statement was applied
     */
    public boolean applyStatement(Residency residency, Instant now) {
        Statement previous = mStatements.get(residency.runner());
        if (previous != null && !residency.isAfter(previous.residency())) {
            return false;
        }
        mStatements.put(residency.runner(), new Statement(residency, now));
        return true;
    }

    /**
     * Applies the current registry entries and discards runners that are not registered.
     *
     * @param runners all registered runners
     * @param now the current time
     */
    public void applyRegistrations(List<RunnerRegistration> runners, Instant now) {
        Map<EndpointId, Entry> entries = new HashMap<>();
        for (RunnerRegistration runner : runners) {
            Entry previous = mEntries.get(runner.id());
            boolean isUnchanged = previous != null && previous.models().equals(runner.models());
            entries.put(runner.id(), isUnchanged ? previous : new Entry(runner.models(), now));
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
    public List<LoadedModel> routableModels(EndpointId runner, Instant now) {
        Entry entry = mEntries.get(runner);
        Statement statement = mStatements.get(runner);
        List<LoadedModel> listed = entry == null ? List.of() : entry.models();
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
        return withoutClosing(residency.models(), residency);
    }

    private static List<LoadedModel> withoutClosing(List<LoadedModel> models, Residency residency) {
        List<LoadedModel> routable = new ArrayList<>();
        for (LoadedModel model : models) {
            if (!residency.closing().contains(model.name())) {
                routable.add(model);
            }
        }
        return routable;
    }

    /** A statement and its time of arrival. */
    private record Statement(Residency residency, Instant at) {}

    /** The models of an entry and the time at which they last changed. */
    private record Entry(List<LoadedModel> models, Instant changedAt) {}
}
