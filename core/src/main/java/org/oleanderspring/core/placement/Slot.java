package org.oleanderspring.core.placement;

import java.time.Instant;
import java.util.Objects;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.CheckpointLocation;
import org.oleanderspring.core.fleet.VmId;

/**
 * One model or adapter on one runner, from reservation until its unload was seen.
 *
 * @param key the runner and the name
 * @param checkpoint what is loaded, with its memory
 * @param vm the VM of the runner
 * @param state how far it is
 * @param since when it entered the state, on the clock of the plan's writer
 * @param order the last order, or the reservation while no order was decided
 * @param source from where the runner loads
 * @param reason why it was reserved
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
    /** Checks that the key names the checkpoint. */
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
            throw new IllegalArgumentException("slot " + key + " holds " + checkpoint.name());
        }
    }

    /** Returns the memory charged to the VM. */
    public long memoryMegabytes() {
        return checkpoint.memoryMegabytes();
    }

    /**
     * Returns the slot in another state, with the same last order.
     *
     * @param next the state
     * @param now when it enters the state
     */
    public Slot withState(SlotState next, Instant now) {
        return new Slot(key, checkpoint, vm, next, now, order, source, reason);
    }

    /**
     * Returns the slot in another state, with a new order.
     *
     * @param next the state
     * @param now when it enters the state
     * @param newOrder the new order
     */
    public Slot withOrder(SlotState next, Instant now, SlotOrder newOrder) {
        return new Slot(key, checkpoint, vm, next, now, newOrder, source, reason);
    }
}
