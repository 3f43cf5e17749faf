package org.oleanderspring.daemon.report.command;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointKind;
import org.oleanderspring.core.fleet.RunnerReport;
import org.oleanderspring.core.fleet.Vm;
import org.oleanderspring.core.fleet.VmList;
import org.oleanderspring.core.port.query.FetchResult;
import org.oleanderspring.core.port.query.RunnerQueries;
import org.oleanderspring.core.port.query.VmListQueries;
import org.oleanderspring.core.port.query.WeightStoreQueries;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.duty.command.EventHandler;
import org.oleanderspring.duty.command.EventSink;

/**
 * Polls the VM list, the catalogue, and the runners of the cells whose leases this daemon holds.
 * All state is confined to the report thread.
 *
 * <p>Each source has at most one read in flight, so a slow source is polled less often and requests
 * to it do not accumulate. Runners are polled at each tick. After a failed read of a runner nothing
 * is reported until a later one succeeds.
 */
public final class ReportDuty implements EventHandler<ReportInput> {
    private static final Logger LOGGER = System.getLogger(ReportDuty.class.getName());
    private static final Duration VM_LIST_PERIOD = Duration.ofSeconds(1);
    private static final Duration CATALOGUE_PERIOD = Duration.ofSeconds(30);
    private static final Duration CATALOGUE_RETRY = Duration.ofSeconds(1);

    private final VmListQueries mVmList;
    private final WeightStoreQueries mWeightStore;
    private final RunnerQueries mRunners;
    private final ReportListener mListener;
    private final MonotonicClock mClock;
    private final EventSink<ReportInput> mOwnRing;
    private final Set<EndpointId> mRunnersBeingRead = new HashSet<>();
    private Set<CellName> mHeldCells = Set.of();
    private List<Endpoint> mKnownRunners = List.of();
    private Instant mNextVmListRead = Instant.MIN;
    private Instant mNextCatalogueRead = Instant.MIN;
    private boolean mVmListBeingRead;
    private boolean mCatalogueBeingRead;
    private @Nullable String mLastProblem;

    /**
     * Creates the duty; it polls the due sources on each tick once its thread is started.
     *
     * @param vmList reads the VM list
     * @param weightStore reads the catalogue
     * @param runners reads runners' reports
     * @param listener receives the result of each successful read, on the report thread
     * @param clock the clock of the polling periods
     * @param ownRing the ring of this duty, which receives the results of reads
     */
    public ReportDuty(
            VmListQueries vmList,
            WeightStoreQueries weightStore,
            RunnerQueries runners,
            ReportListener listener,
            MonotonicClock clock,
            EventSink<ReportInput> ownRing) {
        mVmList = vmList;
        mWeightStore = weightStore;
        mRunners = runners;
        mListener = listener;
        mClock = clock;
        mOwnRing = ownRing;
    }

    @Override
    public void handle(ReportInput input) {
        if (input instanceof ReportInput.Tick) {
            pollDueSources(mClock.now());
        } else if (input instanceof ReportInput.VmsRead read) {
            mVmListBeingRead = false;
            handleRead(read);
        } else if (input instanceof ReportInput.CatalogueRead read) {
            mCatalogueBeingRead = false;
            handleRead(read);
        } else if (input instanceof ReportInput.RunnerRead read) {
            mRunnersBeingRead.remove(read.runner());
            if (read.result() instanceof FetchResult.Found<RunnerReport> found) {
                mListener.runnerReported(found.value());
            }
        } else if (input instanceof ReportInput.HeldCellsChanged held) {
            mHeldCells = held.cells();
        }
    }

    private void pollDueSources(Instant now) {
        if (!mVmListBeingRead && !now.isBefore(mNextVmListRead)) {
            mVmListBeingRead = true;
            mNextVmListRead = now.plus(VM_LIST_PERIOD);
            mVmList.list().thenAccept(result -> mOwnRing.offer(new ReportInput.VmsRead(result)));
        }
        if (!mCatalogueBeingRead && !now.isBefore(mNextCatalogueRead)) {
            mCatalogueBeingRead = true;
            mNextCatalogueRead = now.plus(CATALOGUE_PERIOD);
            mWeightStore
                    .catalogue()
                    .thenAccept(result -> mOwnRing.offer(new ReportInput.CatalogueRead(result)));
        }
        for (Endpoint runner : mKnownRunners) {
            pollRunner(runner);
        }
    }

    private void pollRunner(Endpoint runner) {
        if (!mHeldCells.contains(runner.cell()) || !mRunnersBeingRead.add(runner.id())) {
            return;
        }
        mRunners.report(runner)
                .thenAccept(
                        result -> mOwnRing.offer(new ReportInput.RunnerRead(runner.id(), result)));
    }

    private void handleRead(ReportInput.VmsRead read) {
        if (read.result() instanceof FetchResult.Found<VmList> found) {
            mKnownRunners = runnersOf(found.value());
            mListener.vmsListed(found.value());
            mLastProblem = null;
            return;
        }
        logProblem("VM list", ((FetchResult.Unavailable<VmList>) read.result()).reason());
    }

    private void handleRead(ReportInput.CatalogueRead read) {
        if (read.result() instanceof FetchResult.Found<List<Checkpoint>> found) {
            mListener.catalogueListed(found.value());
            return;
        }
        mNextCatalogueRead = mClock.now().plus(CATALOGUE_RETRY);
        logProblem(
                "catalogue", ((FetchResult.Unavailable<List<Checkpoint>>) read.result()).reason());
    }

    /**
     * Logs a problem at its first occurrence only. It is logged again after another problem or a
     * successful read of the VM list.
     */
    private void logProblem(String source, String reason) {
        String problem = source + reason;
        if (!problem.equals(mLastProblem)) {
            LOGGER.log(Level.WARNING, "[report] The {0} could not be read: {1}.", source, reason);
        }
        mLastProblem = problem;
    }

    private static List<Endpoint> runnersOf(VmList list) {
        List<Endpoint> runners = new ArrayList<>();
        for (Vm vm : list.vms()) {
            for (Endpoint endpoint : vm.endpoints()) {
                if (endpoint.kind() == EndpointKind.RUNNER) {
                    runners.add(endpoint);
                }
            }
        }
        return runners;
    }
}
