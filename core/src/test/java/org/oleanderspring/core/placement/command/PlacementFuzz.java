package org.oleanderspring.core.placement.command;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.arbitraries.IntegerArbitrary;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/**
 * Guards against exceeded replica and memory limits, orders that are not in a written plan, unloads
 * during active calls, activations that are never answered and idle models that are never unloaded.
 * The faults are paused holders, lost replies, late orders, replaced runners and changing settings.
 */
class PlacementFuzz {
    /**
     * The maximum simulated time for settling, draining, unloading and reloading after the faults
     * end.
     */
    private static final int TIMEOUT_SECONDS = 120;

    @Property(tries = 400, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
    void limitsHoldAndActivationsAreAnswered(
            @ForAll("histories") ActionChain<PlacementSimulation> history) {
        PlacementSimulation simulation = history.run();
        simulation.endFaults();
        simulation.checkServed(0, TIMEOUT_SECONDS);
        simulation.checkServed(4, TIMEOUT_SECONDS);
        simulation.checkAllUnloaded(TIMEOUT_SECONDS);
    }

    @Provide
    Arbitrary<ActionChain<PlacementSimulation>> histories() {
        return ActionChain.startWith(PlacementSimulation::new)
                .withAction(8, action("wake", 10, (s, i) -> s.requestActivation(i % 5, 1 + i / 5)))
                .withAction(6, action("call", 4, (s, i) -> s.call(i)))
                .withAction(10, action("advance", 40, (s, i) -> s.advance(100L * (i + 1))))
                .withAction(2, action("reseed", 1000, (s, i) -> s.reseed(i)))
                .withAction(4, action("lease", 2, PlacementSimulation::grantLease))
                .withAction(4, action("pause", 2, (s, i) -> s.setPaused(i, true)))
                .withAction(4, action("resume", 2, (s, i) -> s.setPaused(i, false)))
                .withAction(1, action("restart", 2, (s, i) -> s.restartDaemon(i, false)))
                .withAction(1, action("replace daemon", 2, (s, i) -> s.restartDaemon(i, true)))
                .withAction(1, action("replace runner", 3, PlacementSimulation::replaceRunner))
                .withAction(1, action("leave", 3, (s, i) -> s.setLeaving(i, true)))
                .withAction(1, action("stay", 3, (s, i) -> s.setLeaving(i, false)))
                .withAction(1, action("fail loads", 3, (s, i) -> s.setFailsLoads(i, true)))
                .withAction(1, action("store", 3, (s, i) -> s.setStore(i == 0, i == 1)))
                .withAction(2, action("orders", 1, (s, i) -> s.setLosesOrders(i == 0)))
                .withAction(1, action("limit", 2, PlacementSimulation::setReplicaLimit))
                .withAction(1, action("version", 3, PlacementSimulation::publishVersion))
                .withMaxTransformations(100);
    }

    private static Action.Independent<PlacementSimulation> action(String name, int max, Step step) {
        IntegerArbitrary values = Arbitraries.integers().between(0, max);
        return () ->
                values.map(
                        i ->
                                Transformer.mutate(
                                        name + " " + i,
                                        simulation -> {
                                            step.apply(simulation, i);
                                            simulation.advance(100);
                                        }));
    }

    private interface Step {
        void apply(PlacementSimulation simulation, int value);
    }
}
