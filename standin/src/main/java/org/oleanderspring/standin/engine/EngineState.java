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

/** The state of the simulated engine; used on the engine's state thread only. */
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
     * Creates the state of an engine without loaded checkpoints.
     *
     * @param options the engine options
     * @param catalogue the checkpoints by name
     */
    public EngineState(EngineOptions options, Map<String, CatalogueEntry> catalogue) {
        mOptions = options;
        mCatalogue = Map.copyOf(catalogue);
        mReport = new LaggedValue<>(options.reportLag(), buildReport(), Instant.now());
    }

    /** Returns the engine options. */
    public EngineOptions options() {
        return mOptions;
    }

    /** Returns the injected faults. */
    public EngineFaults faults() {
        return mFaults;
    }

    /** Returns the record of started attempts and received orders. */
    public EngineLedger ledger() {
        return mLedger;
    }

    /** Returns the cache of prompt prefixes. */
    public PrefixCache prefixCache() {
        return mPrefixCache;
    }

    /** Returns the slots by checkpoint name, as a modifiable map. */
    public Map<String, EngineSlot> slots() {
        return mSlots;
    }

    /** Returns the checkpoints whose weights are in the memory of the VM, at most 2. */
    public BoundedNameSet inMemory() {
        return mInMemory;
    }

    /** Returns the checkpoints whose weights are on the disk of the VM, at most 32. */
    public BoundedNameSet onDisk() {
        return mOnDisk;
    }

    /** Returns the IDs of the orders that completed or failed, at most 256. */
    public BoundedNameSet endedOrders() {
        return mEndedOrders;
    }

    /**
     * Returns a checkpoint of the catalogue, or null if it is not listed.
     *
     * @param name the checkpoint name
     */
    public @Nullable CatalogueEntry catalogueEntry(String name) {
        return mCatalogue.get(name);
    }

    /** Returns the memory occupied by all slots, in MB. */
    public long usedMegabytes() {
        return mSlots.values().stream().mapToLong(EngineSlot::memoryMegabytes).sum();
    }

    /** Returns the number of running calls. */
    public int activeCalls() {
        return mSlots.values().stream().mapToInt(EngineSlot::activeCalls).sum();
    }

    /**
     * Returns whether a model, or an adapter and its base model, is ready to serve calls.
     *
     * @param name the name of the model or adapter
     */
    public boolean isReady(String name) {
        EngineSlot slot = mSlots.get(name);
        if (slot == null || slot.state() != EngineSlotState.READY) {
            return false;
        }
        String base = slot.base();
        return base == null || isReady(base);
    }

    /** Returns the highest fencing token of an accepted order; 0 if there was none. */
    public long highestToken() {
        return mHighestToken;
    }

    /**
     * Records the fencing token of an accepted order; a token below the highest one has no effect.
     *
     * @param token the token
     */
    public void recordToken(long token) {
        mHighestToken = Math.max(mHighestToken, token);
    }

    /**
     * Sets the role shown in reports, which is empty at first. It does not change how calls are
     * run.
     *
     * @param role the new role
     */
    public void setRole(String role) {
        mRole = role;
    }

    /**
     * Retains an attempt, so that its stream can be read again. Beyond 1,024 attempts the oldest is
     * removed.
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
     * Returns a retained attempt, or null.
     *
     * @param id the attempt ID
     */
    public @Nullable CompletionAttempt attempt(String id) {
        return mAttempts.get(id);
    }

    /** Returns the retained attempts, oldest first. */
    public Iterable<CompletionAttempt> attempts() {
        return mAttempts.values();
    }

    /**
     * Adds a version of the report and updates the peak memory; to be called after each change of
     * the state that the report shows.
     */
    public void updateReport() {
        mLedger.recordMemory(usedMegabytes());
        mReport.set(buildReport(), Instant.now());
    }

    /**
     * Returns the latest report that is at least as old as the report lag, with the time of its
     * state in {@code madeAt} and the current time in {@code servedAt}.
     */
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
