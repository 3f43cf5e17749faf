package org.oleanderspring.core.placement;

import java.time.Instant;
import java.util.Objects;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.CheckpointLocation;
import org.oleanderspring.core.fleet.VmId;

/**
 * The assignment of one model or adapter to one runner. A slot exists from the reservation until a
 * report of the runner confirms the unload.
 *
 * @param key the runner and the model or adapter
 * @param checkpoint the checkpoint that the runner loads, with the memory it needs
 * @param vm the VM of the runner
 * @param state the state in the life cycle of the slot
 * @param since the time at which the slot entered the state, by the clock of the daemon that wrote
 *     the plan
 * @param order the last order for the slot, or the identifier of the reservation while no order has
 *     been decided
 * @param source the location from which the runner loads the checkpoint
 * @param reason the reason for the reservation
 */
public record Slot(
        SlotKey key,
        Checkpoint checkpoint,
        VmId vm,
        SlotState state,
        Instant since,
        SlotOrder order,
        CheckpointLocation source,
        SlotReason reason) {
    /** Rejects a key that names another model or adapter than the checkpoint. */
    public Slot {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(checkpoint, "checkpoint");
        Objects.requireNonNull(vm, "vm");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(since, "since");
        Objects.requireNonNull(order, "order");
        Objects.requireNonNull(source, "source");
        Objects.requireNonNull(reason, "reason");
        if (!key.name().equals(checkpoint.name())) {
            throw new IllegalArgumentException(
                    "slot " + key + " has a checkpoint of another model: " + checkpoint.name());
        }
    }

    /** Returns the memory that the slot reserves on the VM, in megabytes. */
    public long memoryMegabytes() {
        return checkpoint.memoryMegabytes();
    }

    /**
     * Returns a copy of the slot in another state, with the same last order.
     *
     * @param next the new state
     * @param now the time at which the slot enters the state
     */
    public Slot withState(SlotState next, Instant now) {
        return new Slot(key, checkpoint, vm, next, now, order, source, reason);
    }

    /**
     * Returns a copy of the slot in another state, with a new order.
     *
     * @param next the new state
     * @param now the time at which the slot enters the state
     * @param newOrder the new order
     */
    public Slot withOrder(SlotState next, Instant now, SlotOrder newOrder) {
        return new Slot(key, checkpoint, vm, next, now, newOrder, source, reason);
    }
}
