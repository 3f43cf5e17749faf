package org.oleanderspring.daemon.gateway.quarantine.command;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.List;
import org.oleanderspring.core.quarantine.RefusedPattern;

/** The metrics of the quarantine duty. */
public final class QuarantineMeters {
    private final Counter mBrokenAnswers;
    private final Counter mCrashesReported;
    private final Counter mCrashesReceived;
    private final Counter mEntries;
    private final Counter mWithdrawals;
    private final Counter mTrials;
    private volatile int mSuspectedPatterns;
    private volatile int mConfirmedPatterns;

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
        mTrials = registry.counter("quarantine.trials");
        registry.registerGauge(
                "quarantine.patterns",
                (Gauge<Integer>) () -> mSuspectedPatterns + mConfirmedPatterns);
        registry.registerGauge(
                "quarantine.patterns.suspected", (Gauge<Integer>) () -> mSuspectedPatterns);
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

    void trialBegun() {
        mTrials.inc();
    }

    void patterns(List<RefusedPattern> patterns) {
        int confirmed = (int) patterns.stream().filter(RefusedPattern::isConfirmed).count();
        mConfirmedPatterns = confirmed;
        mSuspectedPatterns = patterns.size() - confirmed;
    }
}
