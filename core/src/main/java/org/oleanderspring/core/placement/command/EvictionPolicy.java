package org.oleanderspring.core.placement.command;

import java.util.List;

/** Selects the idle slots of a VM to unload so that a load fits. */
public interface EvictionPolicy {
    /**
     * Returns the slots to unload, or an empty list if the idle slots do not free enough memory.
     *
     * @param idle the idle slots of one VM
     * @param megabytes the memory to free, in megabytes
     */
    List<IdleSlot> choose(List<IdleSlot> idle, long megabytes);
}
