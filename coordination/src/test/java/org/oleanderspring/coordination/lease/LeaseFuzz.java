package org.oleanderspring.coordination.lease;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tuple;

/**
 * Property tests in which several daemons compete for leases at a key-value service with faults.
 */
class LeaseFuzz {
    /**
     * Guards against two holders at the same time and against a lease that no daemon takes over.
     */
    @Property(seed = "8320", tries = 400, shrinking = ShrinkingMode.BOUNDED)
    void atMostOneHolderAndOneAfterTheFaults(
            @ForAll("steps") List<SimulatedLeases.Step> steps, @ForAll long seed) {
        SimulatedLeases simulation = new SimulatedLeases(seed, false);
        steps.forEach(simulation::run);
        simulation.endFaultsAndCheck();
    }

    /**
     * Guards against a lease that is blocked by a create that arrives after its daemon stopped
     * competing for the lease; try 975 of this seed produces this case.
     */
    @Property(seed = "99003", tries = 1_000, shrinking = ShrinkingMode.BOUNDED)
    void lateCreateDoesNotBlockTheLease(
            @ForAll("steps") List<SimulatedLeases.Step> steps, @ForAll long seed) {
        atMostOneHolderAndOneAfterTheFaults(steps, seed);
    }

    /**
     * Guards against holders of two eras that act at the same time, against a token that falls, and
     * against a write of an earlier era that replaces a value at a revision given out again, when
     * the service comes back from copies.
     */
    @Property(seed = "4403", tries = 600, shrinking = ShrinkingMode.BOUNDED)
    void restoredServiceKeepsHoldersApart(
            @ForAll("stepsWithRestorations") List<SimulatedLeases.Step> steps, @ForAll long seed) {
        SimulatedLeases simulation = new SimulatedLeases(seed, true);
        steps.forEach(simulation::run);
        simulation.endFaultsAndCheck();
    }

    @Provide
    Arbitrary<List<SimulatedLeases.Step>> stepsWithRestorations() {
        Arbitrary<Integer> number = Arbitraries.integers().between(0, 999);
        Arbitrary<SimulatedLeases.Step> restoration =
                number.map(
                        age -> new SimulatedLeases.Step(SimulatedLeases.StepKind.RESTORE, age, 0));
        return steps().flatMap(
                        steps ->
                                Combinators.combine(
                                                restoration,
                                                Arbitraries.integers().between(0, steps.size()))
                                        .as(LeaseFuzz::atPosition)
                                        .list()
                                        .ofMinSize(1)
                                        .ofMaxSize(3)
                                        .map(restorations -> insert(steps, restorations)));
    }

    private record Placed(SimulatedLeases.Step step, int position) {}

    private static Placed atPosition(SimulatedLeases.Step step, int position) {
        return new Placed(step, position);
    }

    private static List<SimulatedLeases.Step> insert(
            List<SimulatedLeases.Step> steps, List<Placed> placed) {
        List<SimulatedLeases.Step> all = new ArrayList<>(steps);
        placed.forEach(each -> all.add(each.position(), each.step()));
        return all;
    }

    @Provide
    Arbitrary<List<SimulatedLeases.Step>> steps() {
        Arbitrary<SimulatedLeases.StepKind> kind =
                Arbitraries.frequency(
                        Tuple.of(30, SimulatedLeases.StepKind.ADVANCE),
                        Tuple.of(6, SimulatedLeases.StepKind.PAUSE),
                        Tuple.of(6, SimulatedLeases.StepKind.RESUME),
                        Tuple.of(2, SimulatedLeases.StepKind.CRASH),
                        Tuple.of(2, SimulatedLeases.StepKind.STOP),
                        Tuple.of(8, SimulatedLeases.StepKind.WITHDRAW),
                        Tuple.of(10, SimulatedLeases.StepKind.COMPETE),
                        Tuple.of(4, SimulatedLeases.StepKind.FAULTS),
                        Tuple.of(5, SimulatedLeases.StepKind.OUTAGE),
                        Tuple.of(4, SimulatedLeases.StepKind.END_FAULTS));
        Arbitrary<Integer> number = Arbitraries.integers().between(0, 999);
        return Combinators.combine(kind, number, number)
                .as(SimulatedLeases.Step::new)
                .list()
                .ofMinSize(10)
                .ofMaxSize(120);
    }
}
