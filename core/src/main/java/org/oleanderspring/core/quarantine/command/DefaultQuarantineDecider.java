package org.oleanderspring.core.quarantine.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.membership.query.RendezvousRanking;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.quarantine.Prompt;
import org.oleanderspring.core.quarantine.PromptPart;
import org.oleanderspring.core.quarantine.PromptPattern;
import org.oleanderspring.core.quarantine.QuarantineEntry;
import org.oleanderspring.core.quarantine.QuarantineLimits;
import org.oleanderspring.core.quarantine.RefusedPattern;
import org.oleanderspring.core.quarantine.RunnerCrash;
import org.oleanderspring.core.quarantine.SuspectCall;
import org.oleanderspring.core.quarantine.query.Quarantine;

/**
 * Decides which prompts are kept away from runners, from the ends of runners that all daemons
 * observe. Not thread-safe; used by the thread that owns the quarantine.
 *
 * <p>Each daemon sees only its own calls, and the crashes under a deadly part may be seen by one
 * daemon each. A daemon therefore reports a crash to all others, with the calls that the runner was
 * beginning to answer. All keep these reports; those that reported a crash under a pattern decide
 * about it. Before, they wait until the others have told them which of the suspected parts were
 * answered there. A decision is sent to all daemons and written to the key-value service, so a
 * daemon that missed it, or starts later, learns it from there. While nothing crashes, nothing is
 * sent or written.
 *
 * <p>A decision may be wrong. It is therefore only a suspicion until a trial confirms it ({@link
 * Trials}): callers are asked to come back, and one call is let through. An answered call withdraws
 * the decision, and it ends after {@link QuarantineEntry#REFUSAL_TIME}.
 */
public final class DefaultQuarantineDecider implements QuarantineDecider {
    /** How long to wait for other daemons that know a suspected part to be sound. */
    static final Duration REPLY_TIME = Duration.ofMillis(300);

    /** The number of daemons that send what they know to a daemon that joins. */
    private static final int SPONSORS = 3;

    /** A report of this many calls fits into a datagram, if the prompts have few parts. */
    private static final int MAX_CALLS_IN_A_REPORT = 8;

    private final MemberId mSelf;
    private final QuarantineLimits mLimits;
    private final SoundParts mOwnSoundParts = new SoundParts();
    private final SoundParts mReportedSoundParts = new SoundParts();
    private final CrashLog mCrashes = new CrashLog();
    private final BrokenAnswers mBrokenAnswers = new BrokenAnswers();
    private final EntryTable mTable = new EntryTable();
    private final EntryStore mStore = new EntryStore();
    private final Trials mTrials;
    private final Repetitions<RunnerCrash> mCrashRepetitions = new Repetitions<>();
    private final Repetitions<QuarantineEntry> mEntryRepetitions = new Repetitions<>();

    /** The crashes that this daemon reported, with the time of the first report. */
    private final Map<EndpointId, Instant> mReportedAt = new HashMap<>();

    /** Other daemons that reported a crash that is still evidence. */
    private final Map<MemberId, Instant> mReporters = new HashMap<>();

    private Set<MemberId> mMembers = Set.of();

    /** The patterns that were published last, or null before the first time. */
    private @Nullable List<RefusedPattern> mEnforced;

    private boolean mStoreRead;
    private boolean mUndecided;
    private boolean mEvidenceChanged;
    private List<PatternFinder.Finding> mFindings = List.of();

    /**
     * Creates a decider without entries.
     *
     * @param self this daemon
     */
    public DefaultQuarantineDecider(MemberId self) {
        this(self, QuarantineLimits.DEFAULT);
    }

    /**
     * Creates a decider without entries.
     *
     * @param self this daemon
     * @param limits how many crashes are evidence; equal at all daemons
     */
    public DefaultQuarantineDecider(MemberId self, QuarantineLimits limits) {
        mSelf = self;
        mLimits = limits;
        mTrials = new Trials(self, mTable);
    }

    @Override
    public List<QuarantineDecision> decide(QuarantineEvent event, Instant now) {
        List<QuarantineDecision> decisions = new ArrayList<>();
        handle(event, now, decisions);
        decideAboutPatterns(now, decisions);
        confirmTrials(now, decisions);
        writeIfDue(now, decisions);
        enforce(now, decisions);
        return decisions;
    }

    @Override
    public boolean isWaiting() {
        return mUndecided
                || mTrials.isWaiting()
                || mStore.isWriteScheduled()
                || !mCrashRepetitions.isEmpty()
                || !mEntryRepetitions.isEmpty();
    }

    private void handle(QuarantineEvent event, Instant now, List<QuarantineDecision> decisions) {
        if (event instanceof QuarantineEvent.AnswerBroken broken) {
            answerBroken(broken, now, decisions);
        } else if (event instanceof QuarantineEvent.RunnerChecked checked) {
            runnerChecked(checked, now, decisions);
        } else if (event instanceof QuarantineEvent.CallsAnswered answered) {
            callsAnswered(answered.prompts(), now, decisions);
        } else if (event instanceof QuarantineEvent.CrashReported reported) {
            crashReported(reported, now, decisions);
        } else if (event instanceof QuarantineEvent.SoundPartsReported sound) {
            sound.parts().forEach(part -> mReportedSoundParts.add(part, now));
            mEvidenceChanged = true;
        } else if (event instanceof QuarantineEvent.EntryReceived received) {
            adopt(received.entry(), "received from a daemon", now, decisions);
        } else if (event instanceof QuarantineEvent.EntriesStored stored) {
            entriesStored(stored.entries(), stored.revision(), now, decisions);
        } else if (event instanceof QuarantineEvent.EntriesWritten written) {
            entriesWritten(written, now, decisions);
        } else if (event instanceof QuarantineEvent.WriteRejected rejected) {
            mTrials.dropClaim();
            entriesStored(rejected.entries(), rejected.revision(), now, decisions);
        } else if (event instanceof QuarantineEvent.StoreFailed) {
            mTrials.dropClaim();
            mStore.failed(now);
        } else if (event instanceof QuarantineEvent.CallsRefused refused) {
            claimTrials(refused.patterns(), now);
        } else if (event instanceof QuarantineEvent.MembersChanged changed) {
            membersChanged(changed.members(), decisions);
        } else if (event instanceof QuarantineEvent.TimerFired) {
            timerFired(now, decisions);
        }
    }

    private void answerBroken(
            QuarantineEvent.AnswerBroken broken, Instant now, List<QuarantineDecision> decisions) {
        Instant endedAt = mBrokenAnswers.endOf(broken.runner(), now);
        if (endedAt != null) {
            report(
                    new RunnerCrash(broken.runner(), endedAt, List.of(broken.call())),
                    now,
                    decisions);
        } else if (mBrokenAnswers.add(broken, now)) {
            decisions.add(new QuarantineDecision.CheckRunner(broken.runner()));
        }
    }

    private void runnerChecked(
            QuarantineEvent.RunnerChecked checked,
            Instant now,
            List<QuarantineDecision> decisions) {
        if (checked.isAlive()) {
            mBrokenAnswers.alive(checked.runner());
            return;
        }
        RunnerCrash crash = mBrokenAnswers.ended(checked.runner(), now);
        if (crash != null) {
            report(crash, now, decisions);
        }
    }

    /** Records a crash that this daemon observed and reports it to the others. */
    private void report(RunnerCrash observed, Instant now, List<QuarantineDecision> decisions) {
        RunnerCrash crash = withSuspects(observed, now);
        if (crash.calls().isEmpty()) {
            return;
        }
        mEvidenceChanged |= mCrashes.add(crash);
        mReportedAt.putIfAbsent(crash.runner(), now);
        for (RunnerCrash report : crash.split(MAX_CALLS_IN_A_REPORT)) {
            mCrashRepetitions.add(report, now);
            decisions.add(new QuarantineDecision.SendCrash(otherMembers(), report, false));
        }
        renewEntriesOnProbation(crash, now, decisions);
    }

    /** Leaves out the calls all of whose shared parts are sound. */
    private RunnerCrash withSuspects(RunnerCrash crash, Instant now) {
        List<SuspectCall> suspects =
                crash.calls().stream()
                        .filter(call -> hasSuspectedPart(call.prompt(), now))
                        .limit(CrashLog.MAX_CALLS)
                        .toList();
        return crash.withCalls(suspects);
    }

    private boolean hasSuspectedPart(Prompt prompt, Instant now) {
        return prompt.sharedParts().stream().anyMatch(part -> !isSound(part, now));
    }

    private boolean isSound(PromptPart part, Instant now) {
        return mOwnSoundParts.contains(part, now) || mReportedSoundParts.contains(part, now);
    }

    /** A decision that has ended is renewed by a single crash under a call with its pattern. */
    private void renewEntriesOnProbation(
            RunnerCrash crash, Instant now, List<QuarantineDecision> decisions) {
        for (SuspectCall call : crash.calls()) {
            for (QuarantineEntry ended : mTable.onProbation(call.prompt(), now)) {
                conclude(
                        ended.pattern(),
                        List.of(crash.runner()),
                        List.of(call.request()),
                        now,
                        decisions);
            }
        }
    }

    private void callsAnswered(
            Set<Prompt> prompts, Instant now, List<QuarantineDecision> decisions) {
        Set<PromptPart> newlySound = new HashSet<>();
        for (Prompt prompt : prompts) {
            for (PromptPart part : prompt.sharedParts()) {
                if (!mOwnSoundParts.contains(part, now)) {
                    newlySound.add(part);
                }
                mOwnSoundParts.add(part, now);
            }
            for (QuarantineEntry entry : mTable.active(prompt, now)) {
                withdraw(entry.pattern(), "a call with the pattern was answered", now, decisions);
            }
        }
        newlySound.retainAll(suspectedParts());
        if (!newlySound.isEmpty()) {
            mEvidenceChanged = true;
            for (MemberId reporter : mReporters.keySet()) {
                decisions.add(new QuarantineDecision.SendSoundParts(reporter, newlySound));
            }
        }
    }

    private Set<PromptPart> suspectedParts() {
        Set<PromptPart> parts = new HashSet<>();
        for (CrashLog.Crash crash : mCrashes.crashes()) {
            crash.calls().forEach(call -> parts.addAll(call.prompt().sharedParts()));
        }
        return parts;
    }

    private void crashReported(
            QuarantineEvent.CrashReported reported,
            Instant now,
            List<QuarantineDecision> decisions) {
        if (mCrashes.add(reported.crash())) {
            mEvidenceChanged = true;
            decisions.add(new QuarantineDecision.LogCrash(reported.reporter(), reported.crash()));
        }
        mReporters.put(reported.reporter(), now);
        Set<PromptPart> sound = new HashSet<>();
        for (SuspectCall call : reported.crash().calls()) {
            for (PromptPart part : call.prompt().sharedParts()) {
                if (mOwnSoundParts.contains(part, now)) {
                    sound.add(part);
                }
            }
        }
        if (!sound.isEmpty()) {
            decisions.add(new QuarantineDecision.SendSoundParts(reported.reporter(), sound));
        }
    }

    /** Sends what is known about crashes and patterns, if anything, to daemons that join. */
    private void membersChanged(Set<MemberId> members, List<QuarantineDecision> decisions) {
        Set<MemberId> joined = new HashSet<>(members);
        joined.removeAll(mMembers);
        joined.remove(mSelf);
        mMembers = members;
        if (mCrashes.crashes().isEmpty() && mTable.entries().isEmpty()) {
            return;
        }
        for (MemberId newcomer : joined) {
            if (rank(newcomer.value(), newcomer) < SPONSORS) {
                share(newcomer, decisions);
            }
        }
    }

    private void share(MemberId newcomer, List<QuarantineDecision> decisions) {
        Set<MemberId> recipient = Set.of(newcomer);
        for (RunnerCrash crash : mCrashes.reports()) {
            for (RunnerCrash report : crash.split(MAX_CALLS_IN_A_REPORT)) {
                decisions.add(new QuarantineDecision.SendCrash(recipient, report, true));
            }
        }
        for (QuarantineEntry entry : mTable.entries()) {
            decisions.add(new QuarantineDecision.SendEntry(recipient, entry));
        }
    }

    /** Returns the number of members before this one in the ranking for a key. */
    private int rank(String key, @Nullable MemberId excluded) {
        long ownWeight = RendezvousRanking.weight(key, mSelf.value());
        int rank = 0;
        for (MemberId member : mMembers) {
            boolean isBefore =
                    !member.equals(excluded)
                            && RendezvousRanking.weight(key, member.value()) > ownWeight;
            rank += isBefore ? 1 : 0;
        }
        return rank;
    }

    private void timerFired(Instant now, List<QuarantineDecision> decisions) {
        mEvidenceChanged |= mCrashes.expire(now);
        mTable.expire(now);
        mTrials.expire(now);
        mReportedAt.values().removeIf(at -> !now.isBefore(at.plus(CrashLog.RETENTION)));
        mReporters.values().removeIf(at -> !now.isBefore(at.plus(CrashLog.RETENTION)));
        for (RunnerCrash crash : mCrashRepetitions.take(now)) {
            decisions.add(new QuarantineDecision.SendCrash(otherMembers(), crash, true));
        }
        for (QuarantineEntry entry : mEntryRepetitions.take(now)) {
            decisions.add(new QuarantineDecision.SendEntry(otherMembers(), entry));
        }
    }

    /**
     * Decides about the patterns that explain crashes of which this daemon reported at least one.
     */
    private void decideAboutPatterns(Instant now, List<QuarantineDecision> decisions) {
        mUndecided = false;
        for (PatternFinder.Finding finding : findings(now)) {
            Instant reportedAt = firstReport(finding.runners());
            if (reportedAt.equals(Instant.MAX) || mTable.covers(finding.pattern(), now)) {
                continue;
            }
            if (now.isBefore(reportedAt.plus(REPLY_TIME))) {
                mUndecided = true;
                continue;
            }
            conclude(finding.pattern(), finding.runners(), finding.requests(), now, decisions);
        }
    }

    /** Returns the patterns that explain the crashes, searched again only after new evidence. */
    private List<PatternFinder.Finding> findings(Instant now) {
        if (mEvidenceChanged) {
            mEvidenceChanged = false;
            mFindings = PatternFinder.find(mCrashes.crashes(), part -> isSound(part, now), mLimits);
        }
        return mFindings;
    }

    private Instant firstReport(Collection<EndpointId> runners) {
        Instant first = Instant.MAX;
        for (EndpointId runner : runners) {
            Instant reportedAt = mReportedAt.getOrDefault(runner, Instant.MAX);
            first = reportedAt.isBefore(first) ? reportedAt : first;
        }
        return first;
    }

    private void conclude(
            PromptPattern pattern,
            List<EndpointId> runners,
            List<String> requests,
            Instant now,
            List<QuarantineDecision> decisions) {
        QuarantineEntry before = mTable.get(pattern);
        QuarantineEntry entry =
                new QuarantineEntry(
                        pattern,
                        before == null ? 1 : before.generation() + 1,
                        false,
                        before != null && before.isConfirmed() && !before.isWithdrawn(),
                        0,
                        now.plus(QuarantineEntry.REFUSAL_TIME),
                        runners,
                        requests);
        spread(entry, "runners crashed under calls with the pattern", now, decisions);
    }

    private void withdraw(
            PromptPattern pattern, String reason, Instant now, List<QuarantineDecision> decisions) {
        QuarantineEntry entry = mTable.get(pattern);
        if (entry != null && entry.isActive(now)) {
            spread(entry.withdrawn(), reason, now, decisions);
        }
    }

    /** Applies a decision of this daemon and passes it on to the others. */
    private void spread(
            QuarantineEntry entry, String reason, Instant now, List<QuarantineDecision> decisions) {
        adopt(entry, reason, now, decisions);
        mEntryRepetitions.add(entry, now);
        decisions.add(new QuarantineDecision.SendEntry(otherMembers(), entry));
        mStore.requestWrite(now);
    }

    private void adopt(
            QuarantineEntry entry, String reason, Instant now, List<QuarantineDecision> decisions) {
        if (entry.isForgotten(now) || !mTable.merge(entry, now)) {
            return;
        }
        if (entry.isWithdrawn()) {
            mCrashes.removeCallsWith(entry.pattern().parts());
            mEvidenceChanged = true;
        }
        decisions.add(new QuarantineDecision.LogEntry(entry, reason));
        mStore.requestWrite(now.plus(writeDelay(entry)));
    }

    /** The time by which a daemon of a lower rank should have written the entry. */
    private Duration writeDelay(QuarantineEntry entry) {
        int rank = rank(entry.pattern().id(), null);
        return EntryStore.RANK_DELAY.multipliedBy(rank + 1);
    }

    private void entriesStored(
            List<QuarantineEntry> stored,
            Revision revision,
            Instant now,
            List<QuarantineDecision> decisions) {
        mStoreRead = true;
        mStore.stored(stored, revision);
        for (QuarantineEntry entry : stored) {
            adopt(entry, "read from the key-value service", now, decisions);
        }
        QuarantineEntry missing = mStore.firstMissing(mTable);
        if (missing != null) {
            mStore.requestWrite(now.plus(writeDelay(missing)));
        }
    }

    private void writeIfDue(Instant now, List<QuarantineDecision> decisions) {
        if (mStore.beginWrite(mTable, mTrials.hasUnsentClaim(), now)) {
            decisions.add(
                    new QuarantineDecision.StoreEntries(
                            mTrials.withClaim(mTable.entries()), mStore.revision()));
        }
    }

    private void claimTrials(Set<PromptPattern> refused, Instant now) {
        if (!mStore.isWriting()) {
            refused.forEach(pattern -> mTrials.claimIfDue(pattern, mMembers.size(), now));
        }
    }

    /** Begins the trial that the write has claimed, if the decision is still the same. */
    private void entriesWritten(
            QuarantineEvent.EntriesWritten written,
            Instant now,
            List<QuarantineDecision> decisions) {
        QuarantineEntry claim = mTrials.takeWritten(written.entries());
        entriesStored(written.entries(), written.revision(), now, decisions);
        if (claim != null && claim.equals(mTable.get(claim.pattern()))) {
            mTrials.grant(claim.pattern(), now);
            decisions.add(new QuarantineDecision.LogTrial(claim));
        }
    }

    /** Confirms the decisions whose trials ended with the crash of a runner. */
    private void confirmTrials(Instant now, List<QuarantineDecision> decisions) {
        TrialResults results = TrialResults.of(mTable, mCrashes, mReportedAt.keySet(), now);
        mUndecided |= results.isUndecided();
        for (QuarantineEntry entry : results.confirmed()) {
            spread(entry, "a runner crashed under a trial", now, decisions);
        }
    }

    /**
     * Publishes the patterns when they have changed, for the first time after the key-value service
     * was read, because the daemon takes no requests before.
     */
    private void enforce(Instant now, List<QuarantineDecision> decisions) {
        List<RefusedPattern> patterns = mTrials.refusedPatterns(now);
        if (!mStoreRead || patterns.equals(mEnforced)) {
            return;
        }
        mEnforced = patterns;
        decisions.add(new QuarantineDecision.Enforce(new Quarantine(patterns)));
    }

    private Set<MemberId> otherMembers() {
        Set<MemberId> others = new HashSet<>(mMembers);
        others.remove(mSelf);
        return others;
    }
}
