package org.oleanderspring.core.placement;

/**
 * The life-cycle state of a slot. A slot counts against the replica and memory limits in every
 * state.
 */
public enum SlotState {
    /** The replica and its memory are reserved. No load order for this slot can have been sent. */
    RESERVED,
    /** The load order may have been sent. */
    LOADING,
    /** The runner serves calls for the model. No order is outstanding. */
    READY,
    /** Routers stop sending calls. No unload order can have been sent. */
    DRAINING,
    /** The unload order may have been sent. */
    UNLOADING,
    /** A load order of an earlier term may still be sent or executed. */
    UNSETTLED_LOAD,
    /** An unload order of an earlier term may still be sent or executed. */
    UNSETTLED_UNLOAD;

    /** Returns whether the outcome of an order from an earlier term is unknown. */
    public boolean isUnsettled() {
        return this == UNSETTLED_LOAD || this == UNSETTLED_UNLOAD;
    }

    /** Returns whether a load order may be in progress. */
    public boolean mayBeLoading() {
        return this == LOADING || this == UNSETTLED_LOAD;
    }
}
