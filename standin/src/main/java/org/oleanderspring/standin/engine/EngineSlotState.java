package org.oleanderspring.standin.engine;

/** Load state of an {@link EngineSlot}; reports contain the names of the constants. */
public enum EngineSlotState {
    /** Being loaded. */
    LOADING,
    /** Ready to serve calls. */
    READY,
    /** Being unloaded; still occupies its memory. */
    UNLOADING
}
