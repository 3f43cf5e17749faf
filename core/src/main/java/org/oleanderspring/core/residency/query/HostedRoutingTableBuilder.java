package org.oleanderspring.core.residency.query;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.EndpointId;
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

/**
 * Builds the routing table of a hosted fleet and determines which targets a change affects.
 *
 * <p>The time for a change grows with the models of the runners that changed and not with the
 * number of models and runners, because a fleet loads and unloads models many times a second.
 */
public final class HostedRoutingTableBuilder {
    /** The adapters of a model are named by this prefix and their number, starting with 1. */
    private static final String ADAPTER_PREFIX = "a";

    private final FleetConfiguration mConfiguration;
    private final Set<Target> mKnownTargets;

    /** The targets of each runner in the current table. */
    private final Map<EndpointId, RunnerTargets> mRunners = new HashMap<>();

    /** The current table. Lists are replaced, never changed. */
    private final Map<Target, List<Replica>> mReplicas = new HashMap<>();

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
     * Builds the complete table. Draining runners and runners of services that are not configured
     * are omitted.
     *
     * @param runners the registered runners
     * @param view the models of these runners that may get calls
     * @param now the current time
     */
    public RoutingTable build(
            Collection<RunnerRegistration> runners, ResidencyView view, Instant now) {
        update(runners, view, now);
        return new RoutingTable(mReplicas, mKnownTargets);
    }

    /**
     * Applies the registered runners to the current table.
     *
     * @param runners all registered runners
     * @param view the models of these runners that may get calls
     * @param now the current time
     * @return the replicas of the targets that changed; an empty list for a target without any
     */
    public Map<Target, List<Replica>> update(
            Collection<RunnerRegistration> runners, ResidencyView view, Instant now) {
        Set<Target> changed = new HashSet<>();
        Set<EndpointId> registered = new HashSet<>();
        for (RunnerRegistration runner : runners) {
            registered.add(runner.id());
            apply(runner, view, now, changed);
        }
        for (EndpointId id : List.copyOf(mRunners.keySet())) {
            if (!registered.contains(id)) {
                replace(id, RunnerTargets.NONE, changed);
            }
        }
        return replicasOf(changed);
    }

    /**
     * Applies a change of one registered runner to the current table.
     *
     * @param runner the runner
     * @param view the models of the runner that may get calls
     * @param now the current time
     * @return the replicas of the targets that changed; an empty list for a target without any
     */
    public Map<Target, List<Replica>> update(
            RunnerRegistration runner, ResidencyView view, Instant now) {
        Set<Target> changed = new HashSet<>();
        apply(runner, view, now, changed);
        return replicasOf(changed);
    }

    private Map<Target, List<Replica>> replicasOf(Set<Target> targets) {
        Map<Target, List<Replica>> replicas = new HashMap<>();
        for (Target target : targets) {
            replicas.put(target, mReplicas.getOrDefault(target, List.of()));
        }
        return replicas;
    }

    private void apply(
            RunnerRegistration runner, ResidencyView view, Instant now, Set<Target> changed) {
        ServiceDescription service = mConfiguration.services().get(runner.service());
        if (service == null || runner.draining()) {
            replace(runner.id(), RunnerTargets.NONE, changed);
            return;
        }
        long tokens = service.engine() == null ? 0 : service.engine().tokenCapacity();
        Replica replica =
                new Replica(
                        runner.id(),
                        ReplicaState.READY,
                        Math.max(1, runner.slots()),
                        Math.max(0, tokens),
                        runner.failureDomain());
        List<LoadedModel> models =
                service.engine() == null ? List.of() : view.routableModels(runner.id(), now);
        RunnerTargets previous = mRunners.getOrDefault(runner.id(), RunnerTargets.NONE);
        if (previous.isFor(service.name(), replica, models)) {
            return;
        }
        replace(runner.id(), RunnerTargets.of(service.name(), replica, models), changed);
    }

    private void replace(EndpointId id, RunnerTargets next, Set<Target> changed) {
        RunnerTargets previous = mRunners.getOrDefault(id, RunnerTargets.NONE);
        for (Target target : previous.targets()) {
            remove(target, id);
            changed.add(target);
        }
        Replica replica = next.replica();
        if (replica == null) {
            mRunners.remove(id);
            return;
        }
        mRunners.put(id, next);
        for (Target target : next.targets()) {
            add(target, replica);
            changed.add(target);
        }
    }

    private void remove(Target target, EndpointId id) {
        List<Replica> replicas = new ArrayList<>(mReplicas.getOrDefault(target, List.of()));
        replicas.removeIf(replica -> replica.endpoint().equals(id));
        if (replicas.isEmpty()) {
            mReplicas.remove(target);
            return;
        }
        mReplicas.put(target, List.copyOf(replicas));
    }

    private void add(Target target, Replica replica) {
        List<Replica> replicas = new ArrayList<>(mReplicas.getOrDefault(target, List.of()));
        replicas.add(replica);
        // A fixed order, so that a table does not depend on the order of the changes before.
        replicas.sort(Comparator.comparing(Replica::endpoint));
        mReplicas.put(target, List.copyOf(replicas));
    }

    /**
     * The targets that one runner serves.
     *
     * @param service the service of the runner, or null if it serves no target
     * @param replica the runner as a replica of each target, or null if it serves no target
     * @param models the models that the runner holds
     * @param targets the targets
     */
    private record RunnerTargets(
            @Nullable ServiceName service,
            @Nullable Replica replica,
            List<LoadedModel> models,
            Set<Target> targets) {
        static final RunnerTargets NONE = new RunnerTargets(null, null, List.of(), Set.of());

        RunnerTargets {
            models = List.copyOf(models);
            targets = Set.copyOf(targets);
        }

        static RunnerTargets of(ServiceName service, Replica replica, List<LoadedModel> models) {
            Set<Target> targets = new HashSet<>();
            targets.add(new Target.ServiceTarget(service));
            for (LoadedModel model : models) {
                ModelReference base = new ModelReference(model.name(), null);
                targets.add(new Target.ServiceModelTarget(service, base));
                for (String adapter : model.adapters()) {
                    ModelReference reference = new ModelReference(model.name(), adapter);
                    targets.add(new Target.ServiceModelTarget(service, reference));
                }
            }
            return new RunnerTargets(service, replica, models, targets);
        }

        boolean isFor(ServiceName otherService, Replica otherReplica, List<LoadedModel> other) {
            return otherService.equals(service)
                    && otherReplica.equals(replica)
                    && other.equals(models);
        }
    }
}
