package org.oleanderspring.core.settings;

import java.util.Optional;

/** The settings that operators can change, with their range, default and unit. */
public enum SettingName {
    /** How many replicas of a model may be loaded at a time. */
    REPLICA_LIMIT("replicaLimit", 0, 10_000, 2, "replicas", true),
    /** How many replicas of a model stay loaded without calls. */
    MINIMUM_REPLICAS("minimumReplicas", 0, 10_000, 0, "replicas", true),
    /** The shortest time that a replica without calls stays loaded. */
    KEEP_ALIVE_MINIMUM("keepAliveMinimumSeconds", 0, 86_400, 30, "seconds", true),
    /** The longest time that a replica without calls stays loaded. */
    KEEP_ALIVE_MAXIMUM("keepAliveMaximumSeconds", 0, 86_400, 1_800, "seconds", true),
    /** The weight of idle accelerator hours against cold-start latency. */
    IDLE_COST_WEIGHT("idleCostWeight", 0, 100, 50, "percent", true),
    /** How many calls may wait for one target at one daemon. */
    QUEUE_LIMIT("queueLimit", 0, 100_000, 256, "calls", false),
    /** The deadline of a call that names none. */
    DEFAULT_DEADLINE("defaultDeadlineMillis", 1, 3_600_000, 30_000, "milliseconds", false),
    /** The longest deadline that a call may name. */
    DEADLINE_LIMIT("deadlineLimitMillis", 1, 3_600_000, 600_000, "milliseconds", false),
    /** How many attempts a call may have. */
    ATTEMPT_LIMIT("attemptLimit", 1, 20, 3, "attempts", false),
    /** How many retries a daemon may make for each hundred first attempts. */
    RETRY_BUDGET("retryBudgetPercent", 0, 100, 10, "percent", false),
    /** How many calls all daemons together send to one runner at a time. */
    RUNNER_CONCURRENCY("runnerConcurrency", 1, 10_000, 32, "calls", false),
    /** How many loads the weight store allows in a second. */
    LOADS_PER_SECOND("loadsPerSecond", 1, 10_000, 6, "loads per second", false),
    /** How many model loads may run at a time. */
    CONCURRENT_LOADS("concurrentLoads", 1, 10_000, 4, "loads", false),
    /** How many adapter loads may run at a time across all runners. */
    CONCURRENT_ADAPTER_LOADS("concurrentAdapterLoads", 1, 10_000, 30, "loads", false),
    /** How long a caller may keep the answer of the entry directory. */
    DIRECTORY_KEEP("directoryKeepSeconds", 1, 3_600, 5, "seconds", false),
    /** How long dispatch records are kept. */
    RECORD_RETENTION("recordRetentionSeconds", 60, 604_800, 86_400, "seconds", false),
    /** How many writes of dispatch records each daemon may make in a second. */
    RECORD_WRITES("recordWritesPerSecond", 1, 1_000, 40, "writes per second", false);

    private final String mKey;
    private final long mMinimum;
    private final long mMaximum;
    private final long mDefaultValue;
    private final String mUnit;
    private final boolean mPerModel;

    SettingName(
            String key,
            long minimum,
            long maximum,
            long defaultValue,
            String unit,
            boolean perModel) {
        mKey = key;
        mMinimum = minimum;
        mMaximum = maximum;
        mDefaultValue = defaultValue;
        mUnit = unit;
        mPerModel = perModel;
    }

    /** Returns the name in the settings document. */
    public String key() {
        return mKey;
    }

    /** Returns the smallest allowed value. */
    public long minimum() {
        return mMinimum;
    }

    /** Returns the largest allowed value. */
    public long maximum() {
        return mMaximum;
    }

    /** Returns the value that is in force where the document names none. */
    public long defaultValue() {
        return mDefaultValue;
    }

    /** Returns the unit of the value. */
    public String unit() {
        return mUnit;
    }

    /** Returns whether an exception may change the setting for one model. */
    public boolean isPerModel() {
        return mPerModel;
    }

    /**
     * Returns whether a value is in the allowed range.
     *
     * @param value the value
     */
    public boolean allows(long value) {
        return value >= mMinimum && value <= mMaximum;
    }

    /**
     * Returns the setting with a name.
     *
     * @param key the name in the settings document
     */
    public static Optional<SettingName> ofKey(String key) {
        for (SettingName name : values()) {
            if (name.mKey.equals(key)) {
                return Optional.of(name);
            }
        }
        return Optional.empty();
    }
}
