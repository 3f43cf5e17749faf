package org.oleanderspring.core.residency.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.route.EngineDescription;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.route.ServiceDescription;
import org.oleanderspring.core.runner.RunnerRegistration;

/** The records of all runners that have a model engine. */
final class RunnerFleet {
    private final Map<EndpointId, RunnerRecord> mRecords = new LinkedHashMap<>();
    private List<RunnerRegistration> mEntries = List.of();
    private @Nullable FleetConfiguration mConfiguration;

    Collection<RunnerRecord> records() {
        return mRecords.values();
    }

    Set<EndpointId> ids() {
        return mRecords.keySet();
    }

    @Nullable RunnerRecord record(EndpointId id) {
        return mRecords.get(id);
    }

    /** Returns the runners of a service that take part in the placement. */
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
        return record.isUsable() && record.entry().service().equals(service);
    }

    /** Returns the services that have runners. */
    Set<ServiceName> services() {
        Set<ServiceName> services = new LinkedHashSet<>();
        for (RunnerRecord record : mRecords.values()) {
            services.add(record.entry().service());
        }
        return services;
    }

    /** Returns on how many runners of a service a model is open. */
    int replicas(ServiceName service, ModelName model) {
        int replicas = 0;
        for (RunnerRecord record : mRecords.values()) {
            replicas += serves(record, service) && record.isOpen(model) ? 1 : 0;
        }
        return replicas;
    }

    /** Returns whether a load of a model is planned or under way on any runner of a service. */
    boolean isLoading(ServiceName service, ModelName model) {
        for (RunnerRecord record : mRecords.values()) {
            if (serves(record, service) && record.isLoading(model)) {
                return true;
            }
        }
        return false;
    }

    /** Returns how many loads from the weight store are planned or under way. */
    int storeLoads() {
        int loads = 0;
        for (RunnerRecord record : mRecords.values()) {
            loads += record.isUsable() && record.isLoadingFromStore() ? 1 : 0;
        }
        return loads;
    }

    /** Returns how many runners of a service that take part have the weights of a model. */
    int copies(ServiceName service, ModelName model) {
        int copies = 0;
        for (RunnerRecord record : mRecords.values()) {
            copies += serves(record, service) && record.hasCopy(model) ? 1 : 0;
        }
        return copies;
    }

    /** Returns whether a runner that has the weights of a model will soon be able to load it. */
    boolean hasCopyInReach(ServiceName service, ModelName model) {
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

    /** Takes over a configuration; returns the records whose models changed. */
    List<RunnerRecord> configure(FleetConfiguration configuration, Instant now) {
        mConfiguration = configuration;
        return relist(now);
    }

    /** Takes over the registered runners; returns the records whose models changed. */
    List<RunnerRecord> list(List<RunnerRegistration> entries, Instant now) {
        mEntries = entries;
        return relist(now);
    }

    private List<RunnerRecord> relist(Instant now) {
        List<RunnerRecord> changed = new ArrayList<>();
        Set<EndpointId> listed = new HashSet<>();
        for (RunnerRegistration entry : mEntries) {
            EngineDescription engine = engine(entry.service());
            if (engine == null) {
                continue;
            }
            listed.add(entry.id());
            RunnerRecord record = mRecords.get(entry.id());
            if (record == null) {
                mRecords.put(entry.id(), new RunnerRecord(entry, engine));
            } else if (record.update(entry, engine, now)) {
                changed.add(record);
            }
        }
        mRecords.keySet().retainAll(listed);
        return changed;
    }
}
