package org.oleanderspring.daemon.gateway.quarantine.command;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.quarantine.QuarantineEntry;
import org.oleanderspring.core.quarantine.RunnerCrash;
import org.oleanderspring.core.quarantine.SuspectCall;

/** Logs what the quarantine duty observes and decides, one line of key=value fields for each. */
final class QuarantineLog {
    private static final Logger LOGGER = System.getLogger(QuarantineLog.class.getName());

    private QuarantineLog() {}

    private static void log(Level level, String line) {
        LOGGER.log(level, "[quarantine] " + line);
    }

    static void answerBroken(EndpointId runner, SuspectCall call) {
        log(
                Level.INFO,
                "answer-broken request="
                        + call.request()
                        + " runner="
                        + runner
                        + " prompt="
                        + call.prompt());
    }

    static void runnerChecked(EndpointId runner, boolean isAlive) {
        log(Level.INFO, "runner-checked runner=" + runner + " alive=" + isAlive);
    }

    static void crashReported(RunnerCrash crash, int recipients) {
        log(Level.INFO, "crash-reported " + describe(crash) + " recipients=" + recipients);
    }

    static void crashReceived(MemberId reporter, RunnerCrash crash) {
        log(Level.INFO, "crash-received " + describe(crash) + " reporter=" + reporter);
    }

    private static String describe(RunnerCrash crash) {
        List<String> requests = crash.calls().stream().map(SuspectCall::request).toList();
        return "runner=" + crash.runner() + " requests=" + String.join(",", requests);
    }

    static void entryChanged(QuarantineEntry entry, String reason) {
        log(
                Level.WARNING,
                state(entry)
                        + " quarantine="
                        + entry.pattern().id()
                        + " parts="
                        + entry.pattern()
                        + " generation="
                        + entry.generation()
                        + " trials="
                        + entry.trials()
                        + " until="
                        + entry.until()
                        + " runners="
                        + String.join(",", entry.runners().stream().map(EndpointId::value).toList())
                        + " requests="
                        + String.join(",", entry.requests())
                        + " reason=\""
                        + reason
                        + "\"");
    }

    private static String state(QuarantineEntry entry) {
        if (entry.isWithdrawn()) {
            return "withdrawn";
        }
        return entry.isConfirmed() ? "quarantined" : "suspected";
    }

    static void trialBegun(QuarantineEntry entry) {
        log(
                Level.WARNING,
                "trial-begun quarantine="
                        + entry.pattern().id()
                        + " parts="
                        + entry.pattern()
                        + " generation="
                        + entry.generation()
                        + " trial="
                        + entry.trials());
    }

    static void storeFailed(String reason) {
        log(Level.WARNING, "entries-not-stored reason=\"" + reason + "\"");
    }

    static void storeUnreadable(long revision) {
        log(Level.ERROR, "entries-unreadable revision=" + revision);
    }
}
