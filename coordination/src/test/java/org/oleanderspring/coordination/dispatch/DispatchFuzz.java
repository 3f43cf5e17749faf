package org.oleanderspring.coordination.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tuple;
import net.jqwik.api.statistics.Statistics;
import org.oleanderspring.coordination.dispatch.SimulatedDispatch.Step;
import org.oleanderspring.coordination.dispatch.SimulatedDispatch.StepKind;
import org.oleanderspring.coordination.dispatch.command.ClaimResult;

/**
 * Property tests in which several daemons record claims at a key-value service while requests fail,
 * daemons pause and daemons crash. {@link SimulatedDispatch} checks the results. The seeds are
 * fixed; a failure prints the seed and the shrunk steps.
 */
class DispatchFuzz {
    private static final Duration LONG_RETENTION = Duration.ofDays(1);
    private static final Duration SHORT_RETENTION = Duration.ofSeconds(12);

    /** Guards against a call that is started twice and against a claim that is never settled. */
    @Property(seed = "8301", tries = 400, shrinking = ShrinkingMode.BOUNDED)
    void callStartsAtMostOnce(@ForAll("steps") List<Step> steps, @ForAll long linkSeed) {
        SimulatedDispatch simulation = new SimulatedDispatch(LONG_RETENTION, linkSeed);
        steps.forEach(simulation::run);
        simulation.endFaultsAndSettle();
        requireCoverage(simulation);
        for (int key = 0; key < SimulatedDispatch.KEYS; key++) {
            boolean startedBefore = simulation.starts(key) > 0;
            ClaimResult result = simulation.claimAfterFaults(key);
            if (startedBefore) {
                assertThat("key " + key, result, instanceOf(ClaimResult.AlreadyClaimed.class));
            }
        }
        ClaimResult fresh = simulation.claimAfterFaults(SimulatedDispatch.KEYS);
        assertThat("a new key after all faults ended", fresh, is(new ClaimResult.Claimed()));
    }

    /** Guards against removing records before their retention ends when sealed segments expire. */
    @Property(seed = "8302", tries = 200, shrinking = ShrinkingMode.BOUNDED)
    void callStartsAtMostOnceWithinRetention(
            @ForAll("steps") List<Step> steps, @ForAll long linkSeed) {
        SimulatedDispatch simulation = new SimulatedDispatch(SHORT_RETENTION, linkSeed);
        steps.forEach(simulation::run);
        simulation.endFaultsAndSettle();
        ClaimResult fresh = simulation.claimAfterFaults(SimulatedDispatch.KEYS);
        assertThat("a new key after all faults ended", fresh, is(new ClaimResult.Claimed()));
    }

    /**
     * Fails if fewer than a quarter of the runs reach a result or phase that the steps are meant to
     * cover.
     */
    private static void requireCoverage(SimulatedDispatch simulation) {
        for (String occurrence : List.of("Claimed", "AlreadyClaimed", "Unavailable", "READING")) {
            Statistics.label(occurrence)
                    .collect(simulation.occurrences().containsKey(occurrence))
                    .coverage(checker -> checker.check(true).percentage(share -> share > 25.0));
        }
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<StepKind> kind =
                Arbitraries.frequency(
                        Tuple.of(40, StepKind.CLAIM),
                        Tuple.of(20, StepKind.ADVANCE),
                        Tuple.of(6, StepKind.OUTCOME),
                        Tuple.of(6, StepKind.OWN),
                        Tuple.of(5, StepKind.RELEASE),
                        Tuple.of(5, StepKind.PAUSE),
                        Tuple.of(5, StepKind.RESUME),
                        Tuple.of(2, StepKind.CRASH),
                        Tuple.of(6, StepKind.FAULTS),
                        Tuple.of(1, StepKind.OUTAGE),
                        Tuple.of(2, StepKind.END_FAULTS));
        Arbitrary<Integer> number = Arbitraries.integers().between(0, 999);
        return Combinators.combine(kind, number, number)
                .as(Step::new)
                .list()
                .ofMinSize(40)
                .ofMaxSize(200);
    }
}
