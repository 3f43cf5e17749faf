package org.oleanderspring.core.residency.query;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.FailureDomain;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.residency.Residency;
import org.oleanderspring.core.route.EngineDescription;
import org.oleanderspring.core.route.EngineModel;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.route.IngressLimits;
import org.oleanderspring.core.route.ServiceDescription;
import org.oleanderspring.core.routing.Replica;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.runner.CachedWeights;
import org.oleanderspring.core.runner.LoadedModel;
import org.oleanderspring.core.runner.RunnerRegistration;

/** Applies statements and registrations of a fleet to a routing table. */
class HostedRoutingTableBuilderTest {
    private static final ServiceName SERVICE = new ServiceName("assistant");
    private static final Instant START = Instant.EPOCH.plusSeconds(100);
    private static final int RUNNERS = 60;
    private static final int MODELS = 280;

    private final FleetConfiguration mConfiguration = configuration();
    private final HostedRoutingTableBuilder mBuilder =
            new HostedRoutingTableBuilder(mConfiguration);
    private final ResidencyView mView = new ResidencyView();
    private final Map<EndpointId, RunnerRegistration> mRunners = new LinkedHashMap<>();
    private long mStatements;

    private static FleetConfiguration configuration() {
        Map<ModelName, EngineModel> models = new LinkedHashMap<>();
        Duration load = Duration.ofMillis(600);
        for (int number = 0; number < MODELS; number++) {
            ModelName model = new ModelName("m" + number);
            models.put(model, new EngineModel(model, 100, load, load, load, 2, 1));
        }
        EngineDescription engine = new EngineDescription(4, 1_000, 150, 3, 6, models);
        return new FleetConfiguration(
                1,
                List.of(),
                Map.of(SERVICE, new ServiceDescription(SERVICE, "/", 10, engine)),
                IngressLimits.DEFAULT);
    }

    private RunnerRegistration register(int number, boolean draining, List<LoadedModel> models) {
        EndpointId id = new EndpointId("r" + number);
        RunnerRegistration runner =
                new RunnerRegistration(
                        id,
                        "r" + number,
                        SERVICE,
                        new Address("10.0.0.1", 80 + number),
                        new FailureDomain("east"),
                        4,
                        draining,
                        null,
                        models,
                        CachedWeights.NONE);
        mRunners.put(id, runner);
        return runner;
    }

    private List<RunnerRegistration> runners() {
        return List.copyOf(mRunners.values());
    }

    private Map<Target, List<Replica>> state(RunnerRegistration runner, List<LoadedModel> models) {
        mStatements++;
        mView.applyStatement(
                new Residency(
                        runner.id(),
                        new FencingToken(1),
                        mStatements,
                        mStatements,
                        models,
                        Set.of()),
                START);
        return mBuilder.update(runner, mView, START);
    }

    private static LoadedModel loaded(int model, String... adapters) {
        return new LoadedModel(new ModelName("m" + model), Set.of(adapters));
    }

    private static Target target(String model) {
        return new Target.ServiceModelTarget(SERVICE, ModelReference.parse(model));
    }

    /**
     * Guards against work for the whole fleet at each statement about one runner: in a fleet that
     * loads hundreds of models a second, the routing duty then falls behind its calls.
     */
    @Test
    void statementAboutOneRunnerChangesOnlyItsTargets() {
        for (int number = 0; number < RUNNERS; number++) {
            register(number, false, List.of(loaded(3 * number), loaded(3 * number + 1)));
        }
        mView.applyRegistrations(runners(), START);
        mBuilder.build(runners(), mView, START);
        Map<Target, List<Replica>> changed =
                state(runners().get(0), List.of(loaded(0), loaded(2, "a1")));
        assertThat(
                changed.keySet(),
                is(
                        Set.of(
                                new Target.ServiceTarget(SERVICE),
                                target("m0"),
                                target("m1"),
                                target("m2"),
                                target("m2/a1"))));
        assertThat(changed.get(target("m1")), empty());
        assertThat(
                "the same statement once more",
                state(runners().get(0), List.of(loaded(0), loaded(2, "a1"))),
                anEmptyMap());
        assertThat(
                "registrations without a change",
                mBuilder.update(runners(), mView, START),
                anEmptyMap());
    }

    /** Guards against a table that depends on the order or number of the changes before. */
    @Test
    void tableAfterManyChangesEqualsTheTableBuiltAtOnce() {
        for (long seed = 1; seed <= 20; seed++) {
            Random random = new Random(seed);
            Map<Target, List<Replica>> table = new HashMap<>();
            for (int step = 0; step < 200; step++) {
                apply(table, randomChange(random));
            }
            assertThat(
                    "seed " + seed,
                    table,
                    is(
                            new HostedRoutingTableBuilder(mConfiguration)
                                    .build(runners(), mView, START)
                                    .replicas()));
        }
    }

    private Map<Target, List<Replica>> randomChange(Random random) {
        int number = random.nextInt(8);
        EndpointId id = new EndpointId("r" + number);
        RunnerRegistration runner = mRunners.get(id);
        if (runner != null && random.nextInt(10) > 2) {
            return state(runner, randomModels(random));
        }
        if (runner != null && random.nextBoolean()) {
            mRunners.remove(id);
        } else {
            register(number, random.nextInt(5) == 0, randomModels(random));
        }
        mView.applyRegistrations(runners(), START);
        return mBuilder.update(runners(), mView, START);
    }

    private static List<LoadedModel> randomModels(Random random) {
        List<LoadedModel> models = new ArrayList<>();
        for (int model = 0; model < 4; model++) {
            if (random.nextBoolean()) {
                models.add(random.nextBoolean() ? loaded(model) : loaded(model, "a1"));
            }
        }
        return models;
    }

    private static void apply(
            Map<Target, List<Replica>> table, Map<Target, List<Replica>> changed) {
        changed.forEach(
                (target, replicas) -> {
                    if (replicas.isEmpty()) {
                        table.remove(target);
                    } else {
                        table.put(target, replicas);
                    }
                });
    }
}
