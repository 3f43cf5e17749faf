package org.oleanderspring.core.quarantine.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.quarantine.PromptPart;
import org.oleanderspring.core.quarantine.PromptPattern;
import org.oleanderspring.core.quarantine.RunnerCrash;
import org.oleanderspring.core.quarantine.SuspectCall;

/**
 * The ends of runners of the last minutes, as reported by all daemons. A runner that several
 * daemons report is one crash with the calls of all of them, so a report may be repeated.
 */
final class CrashLog {
    /** How long a crash is evidence. */
    static final Duration RETENTION = Duration.ofMinutes(5);

    /** Beyond this number the oldest crash is forgotten. */
    static final int MAX_CRASHES = 64;

    /**
     * Further calls are not recorded. A runner may be beginning many answers, because the calls of
     * another crashed runner are repeated there at the same time.
     */
    static final int MAX_CALLS = 128;

    private final Map<EndpointId, Crash> mCrashes = new LinkedHashMap<>();

    /** Adds a report. Returns whether it contains anything new. */
    boolean add(RunnerCrash report) {
        Crash crash = mCrashes.computeIfAbsent(report.runner(), id -> new Crash(report));
        crash.endedBy(report.endedAt());
        int before = crash.mCalls.size();
        for (SuspectCall call : report.calls()) {
            crash.add(call);
        }
        if (mCrashes.size() > MAX_CRASHES) {
            Iterator<EndpointId> oldest = mCrashes.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return crash.mCalls.size() > before;
    }

    /** Removes crashes that are no longer evidence. Returns whether there were any. */
    boolean expire(Instant now) {
        return mCrashes.values().removeIf(crash -> !now.isBefore(crash.mEndedAt.plus(RETENTION)));
    }

    /** Removes the calls that contain all of the given parts, for example after a withdrawal. */
    void removeCallsWith(Collection<PromptPart> parts) {
        for (Crash crash : mCrashes.values()) {
            crash.mCalls.removeIf(call -> call.prompt().parts().containsAll(parts));
        }
    }

    /** Returns the crashes under calls with a pattern since a time. */
    List<Crash> under(PromptPattern pattern, Instant since) {
        return mCrashes.values().stream()
                .filter(crash -> !crash.mEndedAt.isBefore(since) && crash.isUnder(pattern))
                .toList();
    }

    /**
     * Returns whether another runner ended about the same time as one, but not under a call with a
     * pattern.
     */
    boolean hasOtherCrash(Crash crash, PromptPattern pattern, Duration distance) {
        for (Crash other : mCrashes.values()) {
            Duration between = Duration.between(other.mEndedAt, crash.mEndedAt).abs();
            if (between.compareTo(distance) < 0 && !other.isUnder(pattern)) {
                return true;
            }
        }
        return false;
    }

    Collection<Crash> crashes() {
        return mCrashes.values();
    }

    /** Returns the crashes as reports that other daemons can add. */
    List<RunnerCrash> reports() {
        return mCrashes.values().stream().map(Crash::report).toList();
    }

    /** The end of one run of a runner's process. */
    static final class Crash {
        private final EndpointId mRunner;
        private Instant mEndedAt;
        private final List<SuspectCall> mCalls = new ArrayList<>();

        Crash(RunnerCrash report) {
            mRunner = report.runner();
            mEndedAt = report.endedAt();
        }

        /** The daemon whose connections broke first has the best time. */
        private void endedBy(Instant time) {
            mEndedAt = time.isBefore(mEndedAt) ? time : mEndedAt;
        }

        private void add(SuspectCall call) {
            if (mCalls.size() < MAX_CALLS
                    && mCalls.stream().noneMatch(known -> same(known, call))) {
                mCalls.add(call);
            }
        }

        /** The exposure of a repeated report differs by the rounding of messages. */
        private static boolean same(SuspectCall first, SuspectCall second) {
            return first.request().equals(second.request())
                    && first.prompt().equals(second.prompt());
        }

        EndpointId runner() {
            return mRunner;
        }

        Instant endedAt() {
            return mEndedAt;
        }

        /** Returns whether the runner was beginning to answer a call with a pattern. */
        boolean isUnder(PromptPattern pattern) {
            return mCalls.stream().anyMatch(call -> pattern.matches(call.prompt()));
        }

        List<SuspectCall> calls() {
            return mCalls;
        }

        RunnerCrash report() {
            return new RunnerCrash(mRunner, mEndedAt, mCalls);
        }
    }
}
