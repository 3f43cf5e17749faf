package org.oleanderspring.bench.command;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.oleanderspring.bench.query.PlacementCost;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.VmId;
import org.oleanderspring.core.placement.ModelUse;
import org.oleanderspring.core.placement.OrderSender;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.command.DefaultPlacementDecider;
import org.oleanderspring.core.placement.command.PlacementDecision;
import org.oleanderspring.core.placement.command.PlacementEvent;

/**
 * Measures the placement decider of one cell on the calling thread, in elapsed time. Plan writes
 * are confirmed at once, outside of the measured time; orders to runners are not answered.
 */
final class PlacementMeasurement {
    private static final int ROUNDS = 200;
    private static final int WARM_UP_ROUNDS = 8;
    private static final int USED_MODELS = 50;

    /**
     * Few enough that one replica suffices for each model; scaling out would distort the figures.
     */
    private static final int DAEMONS = 8;

    private static final double NANOS_PER_MICRO = 1e3;

    private final ThreadMXBean mThreads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private final PlacementFleet mFleet;
    private final DefaultPlacementDecider mDecider;
    private Instant mNow = Instant.EPOCH;
    private long mRevision = 1;
    private int mActivations;

    PlacementMeasurement(PlacementFleet fleet) {
        mFleet = fleet;
        OrderSender self = new OrderSender(new MemberId("holder"), new VmId("entry"));
        mDecider = new DefaultPlacementDecider(PlacementFleet.CELL, self);
        handle(new PlacementEvent.LimitsChanged(fleet.limits()));
        handle(new PlacementEvent.CatalogueListed(fleet.catalogue()));
        handle(new PlacementEvent.VmsListed(fleet.vmList(mNow)));
        handle(new PlacementEvent.TermStarted(fleet.plan(mNow), new Revision(mRevision)));
        reportAll();
    }

    private void reportAll() {
        mNow = mNow.plusSeconds(1);
        for (int i = 0; i < mFleet.runners(); i++) {
            handle(new PlacementEvent.RunnerReported(mFleet.report(i, mNow)));
        }
    }

    /** Passes an event to the decider and confirms the writes that it decides. */
    private void handle(PlacementEvent event) {
        List<PlacementDecision> decisions = mDecider.decide(event, mNow);
        for (PlacementDecision decision : decisions) {
            if (decision instanceof PlacementDecision.WritePlan write) {
                confirmWrite(write.plan());
            }
        }
    }

    private void confirmWrite(Plan plan) {
        mRevision++;
        handle(new PlacementEvent.PlanWritten(plan.mark(), new Revision(mRevision)));
    }

    List<PlacementCost> measure() {
        for (int i = 0; i < WARM_UP_ROUNDS; i++) {
            measureAll();
            reportAll();
        }
        return measureAll();
    }

    private List<PlacementCost> measureAll() {
        return List.of(
                measure("report", this::nextReport, ROUNDS * 5),
                measure("use of " + USED_MODELS, this::nextUsage, ROUNDS),
                measure("timer", i -> nextTimer(), ROUNDS / 4),
                measure("wake", i -> nextActivation(), ROUNDS / 10));
    }

    private PlacementEvent nextReport(int i) {
        return new PlacementEvent.RunnerReported(mFleet.report(i % mFleet.runners(), mNow));
    }

    private PlacementEvent nextUsage(int i) {
        List<ModelUse> uses = new ArrayList<>();
        for (int number = 0; number < Math.min(USED_MODELS, mFleet.loadedAdapters()); number++) {
            uses.add(new ModelUse(mFleet.loadedAdapter(number), 1, 0, 1));
        }
        return new PlacementEvent.UseReported(new MemberId("daemon-" + i % DAEMONS), uses);
    }

    private PlacementEvent nextTimer() {
        mNow = mNow.plus(Duration.ofMillis(10));
        return new PlacementEvent.TimerFired();
    }

    /** Returns the request to activate an adapter that is not loaded and whose base model is. */
    private PlacementEvent nextActivation() {
        mActivations++;
        mNow = mNow.plus(Duration.ofMillis(10));
        ModelName adapter = PlacementFleet.inactiveAdapter(mActivations);
        MemberId daemon = new MemberId("daemon-0");
        return new PlacementEvent.ActivationRequested(daemon, adapter, mNow.plusSeconds(2), 1);
    }

    private PlacementCost measure(String name, EventSource events, int rounds) {
        double[] micros = new double[rounds];
        double bytes = 0;
        for (int i = 0; i < rounds; i++) {
            PlacementEvent event = events.next(i);
            long bytesBefore = allocatedBytes();
            long nanosBefore = System.nanoTime();
            List<PlacementDecision> decisions = mDecider.decide(event, mNow);
            micros[i] = (System.nanoTime() - nanosBefore) / NANOS_PER_MICRO;
            bytes += allocatedBytes() - bytesBefore;
            confirmWrites(decisions);
        }
        Arrays.sort(micros);
        return new PlacementCost(name, micros[rounds / 2], bytes / rounds);
    }

    private void confirmWrites(List<PlacementDecision> decisions) {
        for (PlacementDecision decision : decisions) {
            if (decision instanceof PlacementDecision.WritePlan write) {
                confirmWrite(write.plan());
            }
        }
    }

    private long allocatedBytes() {
        return mThreads.getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    /** Creates the event of a round, outside of the measured time. */
    private interface EventSource {
        PlacementEvent next(int round);
    }
}
