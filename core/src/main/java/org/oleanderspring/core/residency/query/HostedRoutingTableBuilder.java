package org.oleanderspring.core.residency.query;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.route.EngineModel;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.route.ServiceDescription;
import org.oleanderspring.core.routing.Replica;
import org.oleanderspring.core.routing.ReplicaState;
import org.oleanderspring.core.routing.RoutingTable;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.runner.LoadedModel;
import org.oleanderspring.core.runner.RunnerRegistration;

/** Builds the routing tables of a hosted fleet. */
public final class HostedRoutingTableBuilder {
    /** The adapters of a model are named by this prefix and their number, starting with 1. */
    private static final String ADAPTER_PREFIX = "a";

    private final FleetConfiguration mConfiguration;
    private final Set<Target> mKnownTargets;

    /**
     * Creates a builder for one configuration.
     *
     * @param configuration the configuration
     */
    public HostedRoutingTableBuilder(FleetConfiguration configuration) {
        mConfiguration = configuration;
        mKnownTargets = knownTargets(configuration);
    }

    private static Set<Target> knownTargets(FleetConfiguration configuration) {
        Set<Target> known = new HashSet<>();
        for (ServiceDescription service : configuration.services().values()) {
            known.add(new Target.ServiceTarget(service.name()));
            if (service.engine() == null) {
                continue;
            }
            for (EngineModel model : service.engine().models().values()) {
                ModelReference base = new ModelReference(model.name(), null);
                known.add(new Target.ServiceModelTarget(service.name(), base));
                for (int number = 1; number <= model.adapters(); number++) {
                    known.add(
                            new Target.ServiceModelTarget(
                                    service.name(),
                                    new ModelReference(model.name(), ADAPTER_PREFIX + number)));
                }
            }
        }
        return Set.copyOf(known);
    }

    /**
     * Builds the routing table. Draining runners and runners of services that are not configured
     * are omitted.
     *
     * @param runners the registered runners
     * @param view the models of these runners that may get calls
     * @param now the current time
     */
    public RoutingTable build(
            Collection<RunnerRegistration> runners, ResidencyView view, Instant now) {
        Map<Target, List<Replica>> replicas = new HashMap<>();
        for (RunnerRegistration runner : runners) {
            ServiceDescription service = mConfiguration.services().get(runner.service());
            if (service == null || runner.draining()) {
                continue;
            }
            Replica replica =
                    new Replica(runner.id(), ReplicaState.READY, Math.max(1, runner.slots()));
            add(replicas, new Target.ServiceTarget(service.name()), replica);
            if (service.engine() != null) {
                addModels(replicas, service.name(), view.routableModels(runner.id(), now), replica);
            }
        }
        return new RoutingTable(replicas, mKnownTargets);
    }

    private static void addModels(
            Map<Target, List<Replica>> replicas,
            ServiceName service,
            List<LoadedModel> models,
            Replica replica) {
        for (LoadedModel model : models) {
            ModelReference base = new ModelReference(model.name(), null);
            add(replicas, new Target.ServiceModelTarget(service, base), replica);
            for (String adapter : model.adapters()) {
                ModelReference reference = new ModelReference(model.name(), adapter);
                add(replicas, new Target.ServiceModelTarget(service, reference), replica);
            }
        }
    }

    private static void add(Map<Target, List<Replica>> replicas, Target target, Replica replica) {
        replicas.computeIfAbsent(target, key -> new ArrayList<>()).add(replica);
    }
}
