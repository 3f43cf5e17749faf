package org.oleanderspring.core.placement.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.CheckpointLocation;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.FailureDomain;
import org.oleanderspring.core.fleet.LoadedCheckpoint;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.RunnerReport;
import org.oleanderspring.core.fleet.Vm;
import org.oleanderspring.core.fleet.VmId;
import org.oleanderspring.core.placement.Slot;
import org.oleanderspring.core.placement.SlotKey;
import org.oleanderspring.core.placement.SlotState;

/**
 * Finds runners with free memory for loads during one planning pass. Memory for which a request
 * waits is claimed, so that requests of lower priority do not take it.
 *
 * <p>If no runner has enough free memory, memory that draining slots will free is claimed first. If
 * that is not enough, idle slots are drained on the runner where they have been unused for the
 * longest time. A slot is idle if its model has no demand and no pending activation, the last
 * report shows no active calls, and it was not used recently; a report of a recent use may still be
 * in transit. The minimum number of replicas and the bases of loaded adapters are never evicted.
 */
final class CapacityFinder {
    /**
     * A replica that was used more recently than this is not evicted, because reports of its use
     * may still be in transit.
     */
    private static final Duration MIN_IDLE_TIME = Duration.ofSeconds(3);

    private final CellState mState;
    private final PlacementPolicies mPolicies;
    private final Map<VmId, Long> mClaims = new HashMap<>();

    CapacityFinder(CellState state, PlacementPolicies policies) {
        mState = state;
        mPolicies = policies;
    }

    /**
     * Returns the preferred runner with {@code megabytes} of free memory among those that {@code
     * filter} accepts, or null.
     */
    @Nullable RunnerCandidate findRunner(
            Checkpoint checkpoint, long megabytes, Predicate<RunnerCandidate> filter, Instant now) {
        Comparator<RunnerCandidate> preference = mPolicies.runners().preference();
        Map<FailureDomain, Integer> domains = replicasByDomain(checkpoint.name());
        RunnerCandidate best = null;
        for (Endpoint runner : mState.fleet().runners()) {
            if (!isUsable(runner, checkpoint.name(), now)) {
                continue;
            }
            RunnerCandidate candidate = candidate(runner, checkpoint.name(), domains);
            boolean fits = candidate.freeMegabytes() >= megabytes && filter.test(candidate);
            if (fits && (best == null || preference.compare(candidate, best) < 0)) {
                best = candidate;
            }
        }
        return best;
    }

    /**
     * Returns whether any runner that {@code filter} accepts can take a load of the model or
     * adapter, regardless of memory.
     */
    boolean hasRunner(ModelName name, Predicate<Endpoint> filter, Instant now) {
        for (Endpoint runner : mState.fleet().runners()) {
            if (filter.test(runner) && isUsable(runner, name, now)) {
                return true;
            }
        }
        return false;
    }

    private boolean isUsable(Endpoint runner, ModelName name, Instant now) {
        SlotKey key = new SlotKey(runner.id(), name);
        RunnerReport report = mState.fleet().reportOf(runner.id());
        return report != null
                && mState.fleet().takesLoads(runner, now)
                && mState.slots().get(key) == null
                && PlacementFleetState.loaded(report, name) == null
                && !mState.backOff().isPaused(key, now);
    }

    private RunnerCandidate candidate(
            Endpoint runner, ModelName name, Map<FailureDomain, Integer> domains) {
        RunnerReport report = mState.fleet().reportOf(runner.id());
        Vm vm = mState.fleet().vm(runner.vm());
        CheckpointLocation location =
                report == null ? CheckpointLocation.REMOTE : report.locationOf(name);
        int inDomain = vm == null ? 0 : domains.getOrDefault(vm.failureDomain(), 0);
        return new RunnerCandidate(runner, location, freeMegabytes(runner), inDomain);
    }

    private Map<FailureDomain, Integer> replicasByDomain(ModelName name) {
        Map<FailureDomain, Integer> domains = new HashMap<>();
        for (Slot slot : mState.slots().named(name)) {
            Vm vm = mState.fleet().vm(slot.vm());
            if (vm != null) {
                domains.merge(vm.failureDomain(), 1, Integer::sum);
            }
        }
        return domains;
    }

    private long freeMegabytes(Endpoint runner) {
        return mState.freeMegabytes(runner) - mClaims.getOrDefault(runner.vm(), 0L);
    }

    /** Claims memory of a runner's VM for a waiting request. */
    void claim(Endpoint runner, long megabytes) {
        mClaims.merge(runner.vm(), megabytes, Long::sum);
    }

    /**
     * Claims memory that draining slots will free; if no runner gets enough memory that way, drains
     * idle slots on one runner.
     *
     * @param name the model or adapter to load
     * @param megabytes the memory that the load needs
     * @param filter accepts the runners that are considered
     * @param mayEvict whether idle slots may be drained
     * @param now the current time
     * @return whether enough memory will become free
     */
    boolean makeRoom(
            ModelName name,
            long megabytes,
            Predicate<Endpoint> filter,
            boolean mayEvict,
            Instant now) {
        List<IdleSlot> best = List.of();
        Endpoint bestRunner = null;
        for (Endpoint runner : mState.fleet().runners()) {
            if (!filter.test(runner) || !isUsable(runner, name, now)) {
                continue;
            }
            long missing = megabytes - freeMegabytes(runner) - drainingMegabytes(runner.vm());
            if (missing <= 0) {
                claim(runner, megabytes);
                return true;
            }
            List<IdleSlot> idle = mayEvict ? idleSlotsOn(runner, name, now) : List.of();
            List<IdleSlot> chosen = mPolicies.eviction().choose(idle, missing);
            if (!chosen.isEmpty() && (best.isEmpty() || latestUse(chosen) < latestUse(best))) {
                best = chosen;
                bestRunner = runner;
            }
        }
        if (bestRunner == null) {
            return false;
        }
        best.forEach(idle -> mState.drain(idle.slot(), now));
        claim(bestRunner, megabytes);
        return true;
    }

    private static long latestUse(List<IdleSlot> slots) {
        return slots.stream().mapToLong(idle -> idle.lastUse().getEpochSecond()).max().orElse(0);
    }

    private long drainingMegabytes(VmId vm) {
        long draining = 0;
        Vm listedVm = mState.fleet().vm(vm);
        if (listedVm == null) {
            return 0;
        }
        for (Endpoint runner : listedVm.endpoints()) {
            for (Slot slot : mState.slots().on(runner.id())) {
                if (slot.state() == SlotState.DRAINING || slot.state() == SlotState.UNLOADING) {
                    draining += slot.memoryMegabytes();
                }
            }
        }
        return draining;
    }

    private List<IdleSlot> idleSlotsOn(Endpoint runner, ModelName wanted, Instant now) {
        List<IdleSlot> idle = new ArrayList<>();
        Checkpoint checkpoint = mState.checkpoint(wanted);
        ModelName base = checkpoint == null ? null : checkpoint.base();
        for (Slot slot : mState.slots().on(runner.id())) {
            Instant lastUse = lastUse(slot);
            boolean isIdle = lastUse.plus(MIN_IDLE_TIME).isBefore(now);
            if (isIdle && !slot.key().name().equals(base) && isEvictable(slot)) {
                idle.add(new IdleSlot(slot, lastUse));
            }
        }
        return idle;
    }

    private Instant lastUse(Slot slot) {
        ModelTraffic traffic = mState.usage().of(slot.key().name());
        Instant used = traffic == null ? Instant.MIN : traffic.lastUse();
        return used.isAfter(slot.since()) ? used : slot.since();
    }

    private boolean isEvictable(Slot slot) {
        ModelName name = slot.key().name();
        RunnerReport report = mState.fleet().reportOf(slot.key().runner());
        LoadedCheckpoint loaded = report == null ? null : PlacementFleetState.loaded(report, name);
        int serving = mState.slots().countOf(name, ReplicaDemand.SERVING);
        return slot.state() == SlotState.READY
                && loaded != null
                && loaded.activeCalls() == 0
                && mState.usage().demand(name) == 0
                && !mState.activations().contains(name)
                && serving > mState.limits().forModel(name).minimumReplicas()
                && !AdapterSlots.hasAdapters(mState.slots(), slot);
    }
}
