package org.oleanderspring.core.placement.command;

import java.util.List;

/** Decides which idle slots of a VM make room for a load. */
public interface EvictionPolicy {
    /**
     * Returns the slots to unload, or an empty list if they do not free enough.
     *
     * @param idle the idle slots of one VM
     * @param megabytes the memory that is missing
     */
    List<IdleSlot> choose(List<IdleSlot> idle, long megabytes);
}
