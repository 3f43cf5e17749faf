package org.oleanderspring.coordination.lease;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.lease.SimulatedLeases.Step;
import org.oleanderspring.coordination.lease.SimulatedLeases.StepKind;

/**
 * Sweeps the time at which a key-value service comes back from a copy, over what was being written,
 * how old the copy is and which daemon asks first. Guards against holders of two eras that act at
 * the same time, a token that falls, a write accepted across eras, and a lease that nobody holds
 * within the bound afterwards.
 */
class StoreRestorationSweepTest {
    private static final int[] MOMENTS = {0, 5, 20, 51, 99, 400, 590};
    private static final int[] COPY_AGES = {0, 10, 40, 200, 400, 800};

    /** What was being written when the service stopped. */
    private enum Writing {
        ACQUISITION,
        RENEWALS,
        HANDOVER,
        TAKEOVER_AFTER_CRASH,
        RETURN_OF_PAUSED_HOLDER
    }

    @Test
    void oneRestoration() {
        sweep(false);
    }

    /** The second restoration comes before the first one is settled. */
    @Test
    void twoRestorationsInARow() {
        sweep(true);
    }

    private static void sweep(boolean twice) {
        for (Writing writing : Writing.values()) {
            for (int moment : MOMENTS) {
                for (int age : COPY_AGES) {
                    for (int first = 0; first < 3; first++) {
                        run(writing, moment, age, first, twice);
                    }
                }
            }
        }
    }

    private static void run(Writing writing, int moment, int age, int first, boolean twice) {
        List<Step> steps = new ArrayList<>();
        for (int daemon = 0; daemon < 3; daemon++) {
            steps.add(new Step(StepKind.COMPETE, daemon, 0));
        }
        if (writing != Writing.ACQUISITION) {
            // Long enough for an acquisition and some renewals: 7 times 900 ms.
            steps.add(new Step(StepKind.ADVANCE, 0, 900));
        }
        switch (writing) {
            case HANDOVER -> steps.add(new Step(StepKind.WITHDRAW, 0, 0));
            case TAKEOVER_AFTER_CRASH -> {
                steps.add(new Step(StepKind.CRASH, 0, 0));
                steps.add(new Step(StepKind.ADVANCE, 0, 850));
            }
            case RETURN_OF_PAUSED_HOLDER -> {
                steps.add(new Step(StepKind.PAUSE, 0, 0));
                steps.add(new Step(StepKind.ADVANCE, 0, 800));
            }
            default -> {}
        }
        steps.add(new Step(StepKind.ADVANCE, 0, moment));
        for (int daemon = 0; daemon < 3; daemon++) {
            if (daemon != first) {
                steps.add(new Step(StepKind.OUTAGE, daemon, 0));
            }
        }
        steps.add(new Step(StepKind.RESTORE, age, 0));
        steps.add(new Step(StepKind.RESUME, 0, 0));
        steps.add(new Step(StepKind.ADVANCE, 0, 550));
        if (twice) {
            steps.add(new Step(StepKind.RESTORE, age / 2, 0));
        }
        steps.add(new Step(StepKind.ADVANCE, 0, 590));
        steps.add(new Step(StepKind.END_FAULTS, 0, 0));
        steps.add(new Step(StepKind.ADVANCE, 0, 700));
        SimulatedLeases simulation = new SimulatedLeases(first * 2L, true);
        try {
            steps.forEach(simulation::run);
            simulation.endFaultsAndCheck();
        } catch (AssertionError failure) {
            throw new AssertionError(
                    "writing=" + writing + " moment=" + moment + " age=" + age + " first=" + first,
                    failure);
        }
    }
}
