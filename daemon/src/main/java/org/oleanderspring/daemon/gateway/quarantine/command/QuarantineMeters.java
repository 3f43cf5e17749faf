package org.oleanderspring.daemon.gateway.quarantine.command;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

/** The metrics of the quarantine duty. */
public final class QuarantineMeters {
    private final Counter mBrokenAnswers;
    private final Counter mCrashesReported;
    private final Counter mCrashesReceived;
    private final Counter mEntries;
    private final Counter mWithdrawals;
    private volatile int mPatterns;

    /**
     * Registers the metrics.
     *
     * @param registry the registry
     */
    public QuarantineMeters(MetricRegistry registry) {
        mBrokenAnswers = registry.counter("quarantine.answers.broken");
        mCrashesReported = registry.counter("quarantine.crashes.reported");
        mCrashesReceived = registry.counter("quarantine.crashes.received");
        mEntries = registry.counter("quarantine.entries");
        mWithdrawals = registry.counter("quarantine.withdrawals");
        registry.registerGauge("quarantine.patterns", (Gauge<Integer>) () -> mPatterns);
    }

    void answerBroken() {
        mBrokenAnswers.inc();
    }

    void crashReported() {
        mCrashesReported.inc();
    }

    void crashReceived() {
        mCrashesReceived.inc();
    }

    void entryChanged(boolean isWithdrawn) {
        (isWithdrawn ? mWithdrawals : mEntries).inc();
    }

    void patterns(int patterns) {
        mPatterns = patterns;
    }
}
