package org.oleanderspring.core.placement;

/** How far a slot is. In every state the slot counts against the replica and memory limits. */
public enum SlotState {
    /** Replica and memory are reserved; no load order of this slot can have been sent. */
    RESERVED,
    /** The load order may have been sent. */
    LOADING,
    /** The runner serves calls for it; no order is outstanding. */
    READY,
    /** Routers stop sending calls; no unload order can have been sent. */
    DRAINING,
    /** The unload order may have been sent. */
    UNLOADING,
    /** A load order of an earlier term may still be sent or carried out. */
    UNSETTLED_LOAD,
    /** An unload order of an earlier term may still be sent or carried out. */
    UNSETTLED_UNLOAD;

    /** Returns whether an order of an earlier term has an unknown outcome. */
    public boolean isUnsettled() {
        return this == UNSETTLED_LOAD || this == UNSETTLED_UNLOAD;
    }

    /** Returns whether a load order may be under way. */
    public boolean mayBeLoading() {
        return this == LOADING || this == UNSETTLED_LOAD;
    }
}
