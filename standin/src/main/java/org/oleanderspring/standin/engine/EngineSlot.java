package org.oleanderspring.standin.engine;

import org.jspecify.annotations.Nullable;

/** A checkpoint that occupies memory of the engine; used on the engine's state thread only. */
public final class EngineSlot {
    private final String mName;
    private final @Nullable String mBase;
    private final String mVersion;
    private final long mMemoryMegabytes;
    private EngineSlotState mState = EngineSlotState.LOADING;
    private int mActiveCalls;

    /**
     * Creates a slot in state {@link EngineSlotState#LOADING}.
     *
     * @param entry the catalogue entry of the checkpoint
     * @param version the version to load
     */
    public EngineSlot(CatalogueEntry entry, String version) {
        mName = entry.name();
        mBase = entry.base();
        mVersion = version;
        mMemoryMegabytes = entry.memoryMegabytes();
    }

    /** Returns the name of the model or adapter. */
    public String name() {
        return mName;
    }

    /** Returns the base model of an adapter, or null for a model. */
    public @Nullable String base() {
        return mBase;
    }

    /** Returns the version of the checkpoint. */
    public String version() {
        return mVersion;
    }

    /** Returns the memory that the slot occupies, in MB. */
    public long memoryMegabytes() {
        return mMemoryMegabytes;
    }

    /** Returns the load state. */
    public EngineSlotState state() {
        return mState;
    }

    /**
     * Sets the load state.
     *
     * @param state the new state
     */
    public void setState(EngineSlotState state) {
        mState = state;
    }

    /** Returns the number of running calls. */
    public int activeCalls() {
        return mActiveCalls;
    }

    /**
     * Adds to the number of running calls.
     *
     * @param difference the change, negative to subtract
     */
    public void addActiveCalls(int difference) {
        mActiveCalls += difference;
    }
}
