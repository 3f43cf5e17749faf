package org.oleanderspring.standin.engine;

/** How far a checkpoint is loaded, in the words of the report. */
public enum EngineSlotState {
    /** Being loaded. */
    LOADING,
    /** Serves calls. */
    READY,
    /** Being removed. */
    UNLOADING
}
