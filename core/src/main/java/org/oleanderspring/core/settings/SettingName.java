package org.oleanderspring.core.settings;

import java.util.Optional;

/** The settings that operators can change, with range, default and unit. */
public enum SettingName {
    /** Maximum number of replicas of a model that may be loaded at a time. */
    REPLICA_LIMIT("replicaLimit", 0, 10_000, 2, "replicas", true),
    /** Number of replicas of a model that stay loaded without calls. */
    MINIMUM_REPLICAS("minimumReplicas", 0, 10_000, 0, "replicas", true),
    /** Minimum time for which a replica without calls stays loaded. */
    KEEP_ALIVE_MINIMUM("keepAliveMinimumSeconds", 0, 86_400, 30, "seconds", true),
    /** Maximum time for which a replica without calls stays loaded. */
    KEEP_ALIVE_MAXIMUM("keepAliveMaximumSeconds", 0, 86_400, 1_800, "seconds", true),
    /** Weight of the cost of idle accelerators relative to cold-start latency. */
    IDLE_COST_WEIGHT("idleCostWeight", 0, 100, 50, "percent", true),
    /** Maximum number of calls that may wait for one target at one daemon. */
    QUEUE_LIMIT("queueLimit", 0, 100_000, 256, "calls", false),
    /** Deadline of a call that specifies none. */
    DEFAULT_DEADLINE("defaultDeadlineMillis", 1, 3_600_000, 30_000, "milliseconds", false),
    /** Longest deadline that a call may specify. */
    DEADLINE_LIMIT("deadlineLimitMillis", 1, 3_600_000, 600_000, "milliseconds", false),
    /** Maximum number of attempts of a call. */
    ATTEMPT_LIMIT("attemptLimit", 1, 20, 3, "attempts", false),
    /** Number of retries that a daemon may make per hundred first attempts. */
    RETRY_BUDGET("retryBudgetPercent", 0, 100, 10, "percent", false),
    /** Maximum number of calls that all daemons together send to one runner at a time. */
    RUNNER_CONCURRENCY("runnerConcurrency", 1, 10_000, 32, "calls", false),
    /** Number of loads per second that the weight store permits. */
    LOADS_PER_SECOND("loadsPerSecond", 1, 10_000, 6, "loads per second", false),
    /** Maximum number of model loads that may run at a time. */
    CONCURRENT_LOADS("concurrentLoads", 1, 10_000, 4, "loads", false),
    /** Maximum number of adapter loads that may run at a time across all runners. */
    CONCURRENT_ADAPTER_LOADS("concurrentAdapterLoads", 1, 10_000, 30, "loads", false),
    /** How long a caller may cache a response of the entry directory. */
    DIRECTORY_KEEP("directoryKeepSeconds", 1, 3_600, 5, "seconds", false),
    /** How long dispatch records are kept. */
    RECORD_RETENTION("recordRetentionSeconds", 60, 604_800, 86_400, "seconds", false),
    /** Maximum number of dispatch record writes per second and daemon. */
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

    /** Returns the key of the setting in the settings document. */
    public String key() {
        return mKey;
    }

    /** Returns the smallest permitted value, in the unit of the setting. */
    public long minimum() {
        return mMinimum;
    }

    /** Returns the largest permitted value, in the unit of the setting. */
    public long maximum() {
        return mMaximum;
    }

    /** Returns the built-in value, used if the settings document contains none. */
    public long defaultValue() {
        return mDefaultValue;
    }

    /** Returns the unit of the value, as shown to operators. */
    public String unit() {
        return mUnit;
    }

    /** Returns whether the value may differ between models. */
    public boolean isPerModel() {
        return mPerModel;
    }

    /**
     * Returns whether a value is in the permitted range.
     *
     * @param value the value, in the unit of the setting
     */
    public boolean allows(long value) {
        return value >= mMinimum && value <= mMaximum;
    }

    /**
     * Returns the setting with the given key, or empty if there is none.
     *
     * @param key the key in the settings document
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
