package org.oleanderspring.bench.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.CheckpointLocation;
import org.oleanderspring.core.fleet.Endpoint;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointKind;
import org.oleanderspring.core.fleet.FailureDomain;
import org.oleanderspring.core.fleet.LoadState;
import org.oleanderspring.core.fleet.LoadedCheckpoint;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.RunnerReport;
import org.oleanderspring.core.fleet.Vm;
import org.oleanderspring.core.fleet.VmId;
import org.oleanderspring.core.fleet.VmList;
import org.oleanderspring.core.fleet.VmState;
import org.oleanderspring.core.placement.KeepAliveLimits;
import org.oleanderspring.core.placement.LoadLimits;
import org.oleanderspring.core.placement.ModelLimits;
import org.oleanderspring.core.placement.OrderId;
import org.oleanderspring.core.placement.OrderSender;
import org.oleanderspring.core.placement.PlacementLimits;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.placement.PlanWriteId;
import org.oleanderspring.core.placement.Slot;
import org.oleanderspring.core.placement.SlotKey;
import org.oleanderspring.core.placement.SlotOrder;
import org.oleanderspring.core.placement.SlotReason;
import org.oleanderspring.core.placement.SlotState;

/** A cell in which each runner has one model loaded, and every third runner one adapter as well. */
final class PlacementFleet {
    static final int MODELS = 63;
    static final int ADAPTERS = 2_700;
    static final CellName CELL = new CellName("cell");
    private static final long MODEL_MEGABYTES = 40_000;
    private static final long ADAPTER_MEGABYTES = 200;
    private static final long VM_MEGABYTES = 80_000;
    private static final int RUNNERS_PER_LOADED_ADAPTER = 3;

    /** One adapter in ten is active; only active adapters are loaded at the start. */
    private static final int ACTIVE_ADAPTERS = ADAPTERS / 10;

    private final int mRunners;

    PlacementFleet(int runners) {
        mRunners = runners;
    }

    int runners() {
        return mRunners;
    }

    List<Checkpoint> catalogue() {
        List<Checkpoint> catalogue = new ArrayList<>();
        for (int i = 0; i < MODELS; i++) {
            catalogue.add(new Checkpoint(model(i), null, "1", MODEL_MEGABYTES));
        }
        for (int i = 0; i < ADAPTERS; i++) {
            catalogue.add(adapter(i));
        }
        return catalogue;
    }

    private static ModelName model(int i) {
        return new ModelName("model-" + i % MODELS);
    }

    static Checkpoint adapter(int i) {
        return new Checkpoint(new ModelName("adapter-" + i), model(i), "1", ADAPTER_MEGABYTES);
    }

    PlacementLimits limits() {
        return new PlacementLimits(
                new ModelLimits(mRunners, 0),
                Map.of(),
                new LoadLimits(7, 4, ADAPTERS),
                new KeepAliveLimits(Duration.ofHours(1), Duration.ofHours(12), 50),
                Duration.ofSeconds(3),
                Duration.ofSeconds(30),
                Duration.ofSeconds(2));
    }

    private static EndpointId runner(int i) {
        return new EndpointId("runner-" + i);
    }

    private static VmId vm(int i) {
        return new VmId("vm-" + i);
    }

    VmList vmList(Instant now) {
        List<Vm> vms = new ArrayList<>();
        Address address = new Address("127.0.0.1", 1);
        EndpointKind kind = EndpointKind.RUNNER;
        for (int i = 0; i < mRunners; i++) {
            Endpoint runner = new Endpoint(runner(i), vm(i), address, kind, CELL, null, true);
            FailureDomain domain = new FailureDomain("domain-" + i % 3);
            vms.add(new Vm(vm(i), domain, VmState.LIVE, VM_MEGABYTES, List.of(runner)));
        }
        return new VmList(now, vms, List.of());
    }

    private static boolean hasAdapter(int i) {
        return i % RUNNERS_PER_LOADED_ADAPTER == 0;
    }

    /**
     * Returns the number of the adapter on a runner that has one; its base is the runner's model.
     */
    private static int adapterIndexOn(int runner) {
        int variants = ACTIVE_ADAPTERS / MODELS;
        return runner % MODELS + MODELS * (runner / MODELS % variants);
    }

    /** Returns the adapter on a runner that has one; the number counts these runners only. */
    ModelName loadedAdapter(int number) {
        return adapter(adapterIndexOn(RUNNERS_PER_LOADED_ADAPTER * number)).name();
    }

    /** Returns the number of runners that have an adapter loaded. */
    int loadedAdapters() {
        return (mRunners + RUNNERS_PER_LOADED_ADAPTER - 1) / RUNNERS_PER_LOADED_ADAPTER;
    }

    /** Returns an adapter that is not loaded; a cell of 13 runners or more has its base model. */
    static ModelName inactiveAdapter(int number) {
        return adapter(ACTIVE_ADAPTERS / MODELS * MODELS + MODELS * (1 + number / 13) + number % 13)
                .name();
    }

    /** Returns the plan of a previous owner of the cell, in which all slots are ready. */
    Plan plan(Instant now) {
        List<Slot> slots = new ArrayList<>();
        for (int i = 0; i < mRunners; i++) {
            Checkpoint model = new Checkpoint(model(i), null, "1", MODEL_MEGABYTES);
            slots.add(slot(i, model, now));
            if (hasAdapter(i)) {
                slots.add(slot(i, adapter(adapterIndexOn(i)), now));
            }
        }
        MemberId writer = new MemberId("former");
        PlanWriteId writeId = new PlanWriteId(writer, 1);
        return new Plan(CELL, 1, new FencingToken(1), writer, writeId, slots);
    }

    private static Slot slot(int i, Checkpoint checkpoint, Instant now) {
        OrderSender sender = new OrderSender(new MemberId("former"), new VmId("entry"));
        OrderId id = new OrderId("former-1-" + i);
        return new Slot(
                new SlotKey(runner(i), checkpoint.name()),
                checkpoint,
                vm(i),
                SlotState.READY,
                now,
                new SlotOrder(id, new FencingToken(1), sender),
                CheckpointLocation.REMOTE,
                SlotReason.WAKE);
    }

    RunnerReport report(int i, Instant now) {
        List<LoadedCheckpoint> loaded = new ArrayList<>();
        loaded.add(new LoadedCheckpoint(model(i), "1", LoadState.READY, 1));
        if (hasAdapter(i)) {
            ModelName adapter = adapter(adapterIndexOn(i)).name();
            loaded.add(new LoadedCheckpoint(adapter, "1", LoadState.READY, 1));
        }
        Set<ModelName> noneCached = Set.of();
        return new RunnerReport(
                runner(i),
                now,
                FencingToken.NONE,
                loaded,
                noneCached,
                noneCached,
                Set.of(),
                8,
                false);
    }
}
