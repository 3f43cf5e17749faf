package org.oleanderspring.core.quarantine.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.quarantine.QuarantineEntry;

/**
 * What the crashes since a trial say about decisions that are not confirmed yet.
 *
 * @param confirmed the decisions that are confirmed now
 * @param isUndecided whether a crash is too recent to tell
 */
record TrialResults(List<QuarantineEntry> confirmed, boolean isUndecided) {
    /**
     * A runner that ends together with others says nothing about the trial that it had. Runners
     * with a common cause usually end within this time.
     */
    private static final Duration COMMON_END_TIME = Duration.ofSeconds(1);

    /**
     * Compares the trials with the crashes.
     *
     * @param table the entries
     * @param crashes the crashes that are known
     * @param reported the runners whose crashes this daemon reported
     * @param now the current time
     */
    static TrialResults of(
            EntryTable table, CrashLog crashes, Set<EndpointId> reported, Instant now) {
        List<QuarantineEntry> confirmed = new ArrayList<>();
        boolean isUndecided = false;
        for (QuarantineEntry entry : table.active(now)) {
            if (entry.isConfirmed() || entry.trials() == 0) {
                continue;
            }
            for (CrashLog.Crash crash : crashes.under(entry.pattern(), table.changedAt(entry))) {
                if (!reported.contains(crash.runner())) {
                    continue;
                }
                if (now.isBefore(crash.endedAt().plus(DefaultQuarantineDecider.REPLY_TIME))) {
                    isUndecided = true;
                } else if (!crashes.hasOtherCrash(crash, entry.pattern(), COMMON_END_TIME)) {
                    confirmed.add(entry.confirmed());
                    break;
                }
            }
        }
        return new TrialResults(confirmed, isUndecided);
    }
}
