package org.oleanderspring.core.residency.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointStatement;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.route.EngineDescription;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.route.ServiceDescription;
import org.oleanderspring.core.runner.RunnerRegistration;

/** The records of all registered runners that have a model engine. */
final class RunnerFleet {
    private final Map<EndpointId, RunnerRecord> mRecords = new LinkedHashMap<>();
    private List<RunnerRegistration> mRegistrations = List.of();
    private @Nullable FleetConfiguration mConfiguration;

    Collection<RunnerRecord> records() {
        return mRecords.values();
    }

    Set<EndpointId> ids() {
        return mRecords.keySet();
    }

    /** Applies what a runner has said about itself to a daemon. */
    void applyStatement(EndpointId id, EndpointStatement statement, Instant now) {
        RunnerRecord record = mRecords.get(id);
        if (record != null) {
            record.intake().apply(statement, now);
        }
    }

    @Nullable RunnerRecord record(EndpointId id) {
        return mRecords.get(id);
    }

    /** Returns the runners of a service that are not draining. */
    List<RunnerRecord> usable(ServiceName service) {
        List<RunnerRecord> usable = new ArrayList<>();
        for (RunnerRecord record : mRecords.values()) {
            if (serves(record, service)) {
                usable.add(record);
            }
        }
        return usable;
    }

    private static boolean serves(RunnerRecord record, ServiceName service) {
        return record.isUsable() && record.registration().service().equals(service);
    }

    /** Returns the services that have runners. */
    Set<ServiceName> services() {
        Set<ServiceName> services = new LinkedHashSet<>();
        for (RunnerRecord record : mRecords.values()) {
            services.add(record.registration().service());
        }
        return services;
    }

    /**
     * Returns the number of runners of a service that hold a model and are not about to unload it.
     */
    int replicas(ServiceName service, ModelName model) {
        int replicas = 0;
        for (RunnerRecord record : mRecords.values()) {
            replicas += serves(record, service) && record.isRoutable(model) ? 1 : 0;
        }
        return replicas;
    }

    /** Returns the number of {@link #replicas} on runners that do not limit their call rate. */
    int unlimitedReplicas(ServiceName service, ModelName model, Instant now) {
        int replicas = 0;
        for (RunnerRecord record : mRecords.values()) {
            boolean isUnlimited = serves(record, service) && record.intake().limit(now) == null;
            replicas += isUnlimited && record.isRoutable(model) ? 1 : 0;
        }
        return replicas;
    }

    /**
     * Returns the number of {@link #replicas} that no planned step unloads.
     *
     * @param onlyUnlimited whether only runners count that do not limit their call rate
     */
    int keptReplicas(ServiceName service, ModelName model, boolean onlyUnlimited, Instant now) {
        int replicas = 0;
        for (RunnerRecord record : mRecords.values()) {
            boolean counts =
                    serves(record, service)
                            && record.keeps(model)
                            && !(onlyUnlimited && record.intake().limit(now) != null);
            replicas += counts ? 1 : 0;
        }
        return replicas;
    }

    /** Returns the number of {@link #copies} on runners that do not limit their call rate. */
    int unlimitedCopies(ServiceName service, ModelName model, Instant now) {
        int copies = 0;
        for (RunnerRecord record : mRecords.values()) {
            boolean isUnlimited = serves(record, service) && record.intake().limit(now) == null;
            copies += isUnlimited && record.hasCopy(model) ? 1 : 0;
        }
        return copies;
    }

    /** Returns whether a load of a model is planned or in progress on any runner of a service. */
    boolean isLoading(ServiceName service, ModelName model) {
        for (RunnerRecord record : mRecords.values()) {
            if (serves(record, service) && record.isLoading(model)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the number of loads from the weight store that are planned or in progress. An order
     * of a previous holder counts as one, because it is not known. Otherwise a new holder would
     * load models that are already being loaded.
     */
    int storeLoads() {
        int loads = 0;
        for (RunnerRecord record : mRecords.values()) {
            boolean mayLoad = record.isLoadingFromStore() || record.isExecutingUnknownOrder();
            loads += record.isUsable() && mayLoad ? 1 : 0;
        }
        return loads;
    }

    /**
     * Returns the number of runners of a service that hold a model or have a local copy of its
     * weights.
     */
    int copies(ServiceName service, ModelName model) {
        int copies = 0;
        for (RunnerRecord record : mRecords.values()) {
            copies += serves(record, service) && record.hasCopy(model) ? 1 : 0;
        }
        return copies;
    }

    /**
     * Returns the number of copies of each model, like {@link #copies}; none for missing models.
     */
    Map<ModelName, Integer> copies(ServiceName service) {
        Map<ModelName, Integer> copies = new HashMap<>();
        for (RunnerRecord record : mRecords.values()) {
            if (serves(record, service)) {
                record.copies().forEach(model -> copies.merge(model, 1, Integer::sum));
            }
        }
        return copies;
    }

    /**
     * Returns whether a runner with a local copy of a model's weights is not blocked by a load from
     * the weight store.
     */
    boolean hasLoadableCopy(ServiceName service, ModelName model) {
        for (RunnerRecord record : mRecords.values()) {
            if (serves(record, service)
                    && !record.needsStore(model)
                    && !record.isLoadingFromStore()) {
                return true;
            }
        }
        return false;
    }

    @Nullable EngineDescription engine(ServiceName service) {
        if (mConfiguration == null) {
            return null;
        }
        ServiceDescription description = mConfiguration.services().get(service);
        return description == null ? null : description.engine();
    }

    /** Applies a configuration. Returns the records whose models changed. */
    List<RunnerRecord> applyConfiguration(FleetConfiguration configuration, Instant now) {
        mConfiguration = configuration;
        return updateRecords(now);
    }

    /** Applies the list of registered runners. Returns the records whose models changed. */
    List<RunnerRecord> applyRunners(List<RunnerRegistration> registrations, Instant now) {
        mRegistrations = registrations;
        return updateRecords(now);
    }

    private List<RunnerRecord> updateRecords(Instant now) {
        List<RunnerRecord> changed = new ArrayList<>();
        Set<EndpointId> listed = new HashSet<>();
        for (RunnerRegistration registration : mRegistrations) {
            EngineDescription engine = engine(registration.service());
            if (engine == null) {
                continue;
            }
            listed.add(registration.id());
            RunnerRecord record = mRecords.get(registration.id());
            if (record == null) {
                mRecords.put(registration.id(), new RunnerRecord(registration, engine));
            } else if (record.update(registration, engine, now)) {
                changed.add(record);
            }
        }
        mRecords.keySet().retainAll(listed);
        return changed;
    }
}
