package org.oleanderspring.standin.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.http.LaggedValue;

/** All state of an engine; confined to the engine's duty. */
public final class EngineState {
    private static final int MAX_ENDED_ORDERS = 256;
    private static final int MAX_RETAINED_ATTEMPTS = 1_024;
    private static final int MAX_NAMES_IN_MEMORY = 2;
    private static final int MAX_NAMES_ON_DISK = 32;

    private final EngineOptions mOptions;
    private final Map<String, CatalogueEntry> mCatalogue;
    private final Map<String, EngineSlot> mSlots = new TreeMap<>();
    private final Map<String, CompletionAttempt> mAttempts = new LinkedHashMap<>();
    private final BoundedNameSet mInMemory = new BoundedNameSet(MAX_NAMES_IN_MEMORY);
    private final BoundedNameSet mOnDisk = new BoundedNameSet(MAX_NAMES_ON_DISK);
    private final BoundedNameSet mEndedOrders = new BoundedNameSet(MAX_ENDED_ORDERS);
    private final EngineFaults mFaults = new EngineFaults();
    private final EngineLedger mLedger = new EngineLedger();
    private final PrefixCache mPrefixCache = new PrefixCache();
    private final LaggedValue<ObjectNode> mReport;
    private long mHighestToken;
    private String mRole = "";

    /**
     * Creates an engine without a loaded checkpoint.
     *
     * @param options the settings
     * @param catalogue the checkpoints by name
     */
    public EngineState(EngineOptions options, Map<String, CatalogueEntry> catalogue) {
        mOptions = options;
        mCatalogue = Map.copyOf(catalogue);
        mReport = new LaggedValue<>(options.reportLag(), buildReport(), Instant.now());
    }

    /** Returns the settings. */
    public EngineOptions options() {
        return mOptions;
    }

    /** Returns the faults in force. */
    public EngineFaults faults() {
        return mFaults;
    }

    /** Returns what the engine did. */
    public EngineLedger ledger() {
        return mLedger;
    }

    /** Returns the cached prefixes. */
    public PrefixCache prefixCache() {
        return mPrefixCache;
    }

    /** Returns the slots by name. */
    public Map<String, EngineSlot> slots() {
        return mSlots;
    }

    /** Returns the checkpoints in the VM's memory that are not loaded. */
    public BoundedNameSet inMemory() {
        return mInMemory;
    }

    /** Returns the checkpoints on the VM's disk. */
    public BoundedNameSet onDisk() {
        return mOnDisk;
    }

    /** Returns the orders that were carried out or given up. */
    public BoundedNameSet endedOrders() {
        return mEndedOrders;
    }

    /**
     * Returns a checkpoint of the catalogue, or null.
     *
     * @param name the name
     */
    public @Nullable CatalogueEntry catalogueEntry(String name) {
        return mCatalogue.get(name);
    }

    /** Returns the memory of all slots. */
    public long usedMegabytes() {
        return mSlots.values().stream().mapToLong(EngineSlot::memoryMegabytes).sum();
    }

    /** Returns the number of running calls. */
    public int activeCalls() {
        return mSlots.values().stream().mapToInt(EngineSlot::activeCalls).sum();
    }

    /**
     * Returns whether a model, or an adapter with its model, serves calls.
     *
     * @param name the model or adapter
     */
    public boolean isReady(String name) {
        EngineSlot slot = mSlots.get(name);
        if (slot == null || slot.state() != EngineSlotState.READY) {
            return false;
        }
        String base = slot.base();
        return base == null || isReady(base);
    }

    /** Returns the highest fencing token accepted so far. */
    public long highestToken() {
        return mHighestToken;
    }

    /**
     * Notes the fencing token of an accepted order.
     *
     * @param token the token
     */
    public void recordToken(long token) {
        mHighestToken = Math.max(mHighestToken, token);
    }

    /**
     * Changes the role.
     *
     * @param role the new role
     */
    public void setRole(String role) {
        mRole = role;
    }

    /**
     * Keeps an attempt, so that its stream can be read again; the oldest one is forgotten.
     *
     * @param attempt the attempt
     */
    public void retainAttempt(CompletionAttempt attempt) {
        mAttempts.put(attempt.id(), attempt);
        if (mAttempts.size() > MAX_RETAINED_ATTEMPTS) {
            mAttempts.remove(mAttempts.keySet().iterator().next());
        }
    }

    /**
     * Returns a kept attempt, or null.
     *
     * @param id the identity
     */
    public @Nullable CompletionAttempt attempt(String id) {
        return mAttempts.get(id);
    }

    /** Returns the kept attempts. */
    public Iterable<CompletionAttempt> attempts() {
        return mAttempts.values();
    }

    /** Makes a new version of the report; to be called after each change. */
    public void updateReport() {
        mLedger.recordMemory(usedMegabytes());
        mReport.set(buildReport(), Instant.now());
    }

    /** Returns the report as readers see it now. */
    public ObjectNode visibleReport() {
        Instant now = Instant.now();
        ObjectNode report = mReport.visibleValue(now).deepCopy();
        return report.put("madeAt", mReport.visibleAsOf(now).toString())
                .put("servedAt", now.toString());
    }

    private ObjectNode buildReport() {
        ObjectNode report = Json.object();
        report.put("runner", mOptions.runner());
        report.put("highestToken", mHighestToken);
        ArrayNode loaded = report.putArray("loaded");
        for (EngineSlot slot : mSlots.values()) {
            loaded.addObject()
                    .put("name", slot.name())
                    .put("version", slot.version())
                    .put("state", slot.state().name())
                    .put("activeCalls", slot.activeCalls());
        }
        addNames(report, "inMemory", mInMemory.names());
        addNames(report, "onDisk", mOnDisk.names());
        addNames(report, "endedOrders", mEndedOrders.names());
        report.put("concurrency", mOptions.concurrency());
        report.put("draining", mFaults.isDraining());
        return report.put("role", mRole);
    }

    private static void addNames(ObjectNode report, String field, Set<String> names) {
        ArrayNode array = report.putArray(field);
        names.forEach(array::add);
    }
}
