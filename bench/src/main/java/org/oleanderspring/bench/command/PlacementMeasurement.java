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

/** Measures the decider of one cell on the present thread. */
final class PlacementMeasurement {
    private static final int ROUNDS = 200;
    private static final int WARM_UPS = 8;
    private static final int USED_MODELS = 50;

    /** Few enough that one replica serves each model, so that no scaling out is measured. */
    private static final int DAEMONS = 8;

    private static final double NANOS_PER_MICRO = 1e3;

    private final ThreadMXBean mThreads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private final PlacementFleet mFleet;
    private final DefaultPlacementDecider mDecider;
    private Instant mNow = Instant.EPOCH;
    private long mRevision = 1;
    private int mWoken;

    PlacementMeasurement(PlacementFleet fleet) {
        mFleet = fleet;
        OrderSender self = new OrderSender(new MemberId("holder"), new VmId("entry"));
        mDecider = new DefaultPlacementDecider(PlacementFleet.CELL, self);
        settle(new PlacementEvent.LimitsChanged(fleet.limits()));
        settle(new PlacementEvent.CatalogueListed(fleet.catalogue()));
        settle(new PlacementEvent.VmsListed(fleet.vmList(mNow)));
        settle(new PlacementEvent.TermStarted(fleet.plan(mNow), new Revision(mRevision)));
        reportAll();
    }

    private void reportAll() {
        mNow = mNow.plusSeconds(1);
        for (int i = 0; i < mFleet.runners(); i++) {
            settle(new PlacementEvent.RunnerReported(mFleet.report(i, mNow)));
        }
    }

    /** Handles an event and answers the writes that follow. */
    private void settle(PlacementEvent event) {
        List<PlacementDecision> decisions = mDecider.decide(event, mNow);
        for (PlacementDecision decision : decisions) {
            if (decision instanceof PlacementDecision.WritePlan write) {
                written(write.plan());
            }
        }
    }

    private void written(Plan plan) {
        mRevision++;
        settle(new PlacementEvent.PlanWritten(plan.mark(), new Revision(mRevision)));
    }

    List<PlacementCost> measure() {
        for (int i = 0; i < WARM_UPS; i++) {
            measureAll();
            reportAll();
        }
        return measureAll();
    }

    private List<PlacementCost> measureAll() {
        return List.of(
                measure("report", this::reportOne, ROUNDS * 5),
                measure("use of " + USED_MODELS, this::useOne, ROUNDS),
                measure("timer", i -> timer(), ROUNDS / 4),
                measure("wake", i -> wake(), ROUNDS / 10));
    }

    private PlacementEvent reportOne(int i) {
        return new PlacementEvent.RunnerReported(mFleet.report(i % mFleet.runners(), mNow));
    }

    private PlacementEvent useOne(int i) {
        List<ModelUse> uses = new ArrayList<>();
        for (int used = 0; used < Math.min(USED_MODELS, mFleet.loadedAdapters()); used++) {
            uses.add(new ModelUse(mFleet.loadedAdapter(used), 1, 0, 1));
        }
        return new PlacementEvent.UseReported(new MemberId("daemon-" + i % DAEMONS), uses);
    }

    private PlacementEvent timer() {
        mNow = mNow.plus(Duration.ofMillis(10));
        return new PlacementEvent.TimerFired();
    }

    /** Wakes adapters that are not loaded and whose base is. */
    private PlacementEvent wake() {
        mWoken++;
        mNow = mNow.plus(Duration.ofMillis(10));
        ModelName adapter = PlacementFleet.inactiveAdapter(mWoken);
        MemberId daemon = new MemberId("daemon-0");
        return new PlacementEvent.ActivationRequested(daemon, adapter, mNow.plusSeconds(2), 1);
    }

    private PlacementCost measure(String name, Events events, int rounds) {
        double[] micros = new double[rounds];
        double bytes = 0;
        for (int i = 0; i < rounds; i++) {
            PlacementEvent event = events.next(i);
            long bytesBefore = allocated();
            long before = System.nanoTime();
            List<PlacementDecision> decisions = mDecider.decide(event, mNow);
            micros[i] = (System.nanoTime() - before) / NANOS_PER_MICRO;
            bytes += allocated() - bytesBefore;
            answer(decisions);
        }
        Arrays.sort(micros);
        return new PlacementCost(name, micros[rounds / 2], bytes / rounds);
    }

    private void answer(List<PlacementDecision> decisions) {
        for (PlacementDecision decision : decisions) {
            if (decision instanceof PlacementDecision.WritePlan write) {
                written(write.plan());
            }
        }
    }

    private long allocated() {
        return mThreads.getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    private interface Events {
        PlacementEvent next(int number);
    }
}
