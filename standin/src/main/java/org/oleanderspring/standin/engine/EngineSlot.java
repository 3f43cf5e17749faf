package org.oleanderspring.standin.engine;

import org.jspecify.annotations.Nullable;

/** A checkpoint that takes memory; confined to the engine's duty. */
public final class EngineSlot {
    private final String mName;
    private final @Nullable String mBase;
    private final String mVersion;
    private final long mMemoryMegabytes;
    private EngineSlotState mState = EngineSlotState.LOADING;
    private int mActiveCalls;

    /**
     * Creates a slot that is being loaded.
     *
     * @param entry what is loaded
     * @param version the version
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

    /** Returns the model that an adapter extends, or null. */
    public @Nullable String base() {
        return mBase;
    }

    /** Returns the version. */
    public String version() {
        return mVersion;
    }

    /** Returns the memory that the slot takes. */
    public long memoryMegabytes() {
        return mMemoryMegabytes;
    }

    /** Returns how far the checkpoint is loaded. */
    public EngineSlotState state() {
        return mState;
    }

    /**
     * Changes how far the checkpoint is loaded.
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
     * Changes the number of running calls.
     *
     * @param difference what to add
     */
    public void addActiveCalls(int difference) {
        mActiveCalls += difference;
    }
}
