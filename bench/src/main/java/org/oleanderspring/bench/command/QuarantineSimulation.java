package org.oleanderspring.bench.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.bench.query.QuarantineResult;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.membership.query.RendezvousRanking;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.quarantine.Prompt;
import org.oleanderspring.core.quarantine.PromptPart;
import org.oleanderspring.core.quarantine.PromptPattern;
import org.oleanderspring.core.quarantine.QuarantineEntry;
import org.oleanderspring.core.quarantine.RefusedPattern;
import org.oleanderspring.core.quarantine.SuspectCall;
import org.oleanderspring.core.quarantine.command.DefaultQuarantineDecider;
import org.oleanderspring.core.quarantine.command.QuarantineDecision;
import org.oleanderspring.core.quarantine.command.QuarantineEvent;
import org.oleanderspring.core.quarantine.query.Quarantine;

/**
 * Calls at several daemons and runners that crash, some under calls with a deadly part and some for
 * other reasons. Calls prefer the runner of their prefix, and the calls of a crashed runner are
 * repeated together at the next one, first by the daemon and then by the client, so bystanders move
 * with the deadly call. The key-value service always works. The same seed gives the same run.
 */
final class QuarantineSimulation {
    private static final int FIRST_PARTS = 3;
    private static final int SUBJECTS = 111;
    private static final PromptPart DEADLY = new PromptPart("deadly");
    private static final Duration RESTART_TIME = Duration.ofMillis(3_200);
    private static final Duration EVENT_INTERVAL = Duration.ofMillis(60);
    private static final Duration REPORT_PERIOD = Duration.ofMillis(250);
    private static final Duration TICK = Duration.ofMillis(100);
    private static final Duration MESSAGE_DELAY = Duration.ofMillis(2);
    private static final Duration CLIENT_PAUSE = Duration.ofMillis(300);

    /** The prompt is read before the first event. */
    private static final int MAX_READ_MILLIS = 200;

    private static final double MEAN_EVENTS = 40;
    private static final int PROOF_EVENTS = 8;
    private static final int ATTEMPTS = 2;
    private static final int CRASHES_IN_BOUND = 5;
    private static final Duration BOUND = Duration.ofSeconds(3);

    private static final int FAILURE_DOMAINS = 4;
    private static final Duration APPLICATION_PERIOD = Duration.ofSeconds(10);
    private static final Duration APPLICATION_TIME = Duration.ofSeconds(8);
    private static final Duration GROUP_CRASH_DELAY = Duration.ofMillis(400);
    private static final int APPLICATION_USERS = 40;
    private static final int START_SPREAD_MILLIS = 100;
    private static final Duration THINKING_TIME = Duration.ofSeconds(2);

    /** An application that was idle uses a model that no runner outside of the group has loaded. */
    private static final Duration LOAD_TIME = Duration.ofSeconds(1);

    /** The runners of a group do not end at exactly the same moment. */
    private static final int GROUP_SPREAD_MILLIS = 20;

    private final QuarantineScenario mScenario;
    private final SplittableRandom mRandom;
    private final VirtualScheduler mScheduler = new VirtualScheduler();
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final List<Runner> mRunners = new ArrayList<>();
    private int mNextName;
    private int mDeadlyCrashes;
    private int mOtherCrashes;
    private int mDeadlyCallsAfterBound;
    private int mSoundCalls;
    private int mSoundCallsRefused;
    private int mApplications;
    private List<QuarantineEntry> mStored = List.of();
    private Revision mRevision = Revision.ABSENT;
    private final Set<PromptPart> mRefusedApplications = new HashSet<>();
    private Instant mBoundFrom = Instant.MAX;

    QuarantineSimulation(QuarantineScenario scenario, long seed) {
        mScenario = scenario;
        mRandom = new SplittableRandom(seed);
        for (int index = 0; index < scenario.daemons(); index++) {
            mDaemons.add(new Daemon(new MemberId("vm-" + index)));
        }
        for (int index = 0; index < scenario.runners(); index++) {
            mRunners.add(new Runner(index));
        }
    }

    /** A daemon with the decider of its quarantine. */
    private final class Daemon {
        private final MemberId mId;
        private final DefaultQuarantineDecider mDecider;
        private final Set<Prompt> mAnswered = new HashSet<>();
        private final Set<Integer> mMadeTrials = new HashSet<>();
        private final Set<PromptPattern> mRefused = new HashSet<>();
        private Quarantine mEnforced = Quarantine.NONE;

        Daemon(MemberId id) {
            mId = id;
            mDecider = new DefaultQuarantineDecider(id, mScenario.limits());
        }

        boolean refuses(Prompt prompt) {
            return mEnforced.find(prompt) != null;
        }

        /**
         * Returns whether a call is refused; otherwise it may be a trial, which is used up then.
         */
        boolean refusesNow(Prompt prompt) {
            RefusedPattern refused = mEnforced.find(prompt);
            if (refused == null) {
                return false;
            }
            mRefused.add(refused.pattern());
            return refused.trial() == 0 || !mMadeTrials.add(refused.trial());
        }

        void reportAnswers() {
            if (!mRefused.isEmpty()) {
                decide(new QuarantineEvent.CallsRefused(mRefused));
                mRefused.clear();
            }
            if (!mAnswered.isEmpty()) {
                decide(new QuarantineEvent.CallsAnswered(mAnswered));
                mAnswered.clear();
            }
        }

        void decide(QuarantineEvent event) {
            mDecider.decide(event, mScheduler.now()).forEach(this::execute);
        }

        private void execute(QuarantineDecision decision) {
            if (decision instanceof QuarantineDecision.CheckRunner check) {
                QuarantineEvent event = new QuarantineEvent.RunnerChecked(check.runner(), false);
                mScheduler.schedule(MESSAGE_DELAY, () -> decide(event));
            } else if (decision instanceof QuarantineDecision.SendCrash send) {
                deliver(send.recipients(), new QuarantineEvent.CrashReported(mId, send.crash()));
            } else if (decision instanceof QuarantineDecision.SendSoundParts send) {
                deliver(
                        List.of(send.recipient()),
                        new QuarantineEvent.SoundPartsReported(send.parts()));
            } else if (decision instanceof QuarantineDecision.SendEntry send) {
                deliver(send.recipients(), new QuarantineEvent.EntryReceived(send.entry()));
            } else if (decision instanceof QuarantineDecision.Enforce enforce) {
                mEnforced = enforce.quarantine();
                cancelUnanswered();
            } else if (decision instanceof QuarantineDecision.StoreEntries store) {
                mScheduler.schedule(MESSAGE_DELAY, () -> write(this, store));
            }
        }
    }

    /** Writes to the key-value service, which every daemon follows. */
    private void write(Daemon writer, QuarantineDecision.StoreEntries store) {
        QuarantineEvent outcome;
        if (store.expected().equals(mRevision)) {
            mStored = store.entries();
            mRevision = new Revision(mRevision.value() + 1);
            outcome = new QuarantineEvent.EntriesWritten(mStored, mRevision);
            QuarantineEvent change = new QuarantineEvent.EntriesStored(mStored, mRevision);
            for (Daemon daemon : mDaemons) {
                mScheduler.schedule(MESSAGE_DELAY, () -> daemon.decide(change));
            }
        } else {
            outcome = new QuarantineEvent.WriteRejected(mStored, mRevision);
        }
        mScheduler.schedule(MESSAGE_DELAY, () -> writer.decide(outcome));
    }

    /** Cancels and refuses the calls of all daemons that are refused now and not answered yet. */
    private void cancelUnanswered() {
        for (Runner runner : mRunners) {
            for (Attempt attempt : List.copyOf(runner.mAttempts)) {
                if (attempt.mEvents == 0
                        && !attempt.mCall.mIsTrial
                        && attempt.mCall.mDaemon.refuses(attempt.mCall.mPrompt)) {
                    attempt.mEnded = true;
                    runner.mAttempts.remove(attempt);
                    attempt.mCall.refused();
                }
            }
        }
    }

    private void deliver(Collection<MemberId> recipients, QuarantineEvent event) {
        Set<MemberId> included = new HashSet<>(recipients);
        for (Daemon daemon : mDaemons) {
            if (included.contains(daemon.mId) && mRandom.nextDouble() >= mScenario.messageLoss()) {
                mScheduler.schedule(MESSAGE_DELAY, () -> daemon.decide(event));
            }
        }
    }

    /** A runner, which gets a new identity with each start. */
    private final class Runner {
        private final int mIndex;
        private EndpointId mId = new EndpointId("runner-" + mNextName++);
        private boolean mIsUp = true;
        private final List<Attempt> mAttempts = new ArrayList<>();

        Runner(int index) {
            mIndex = index;
        }

        int failureDomain() {
            return mIndex % FAILURE_DOMAINS;
        }

        void crash() {
            if (!mIsUp) {
                return;
            }
            mIsUp = false;
            List<Attempt> broken = List.copyOf(mAttempts);
            mAttempts.clear();
            broken.forEach(attempt -> attempt.breakOff(mId));
            mScheduler.schedule(
                    RESTART_TIME,
                    () -> {
                        mId = new EndpointId("runner-" + mNextName++);
                        mIsUp = true;
                    });
        }
    }

    /** An attempt of a call at a runner. */
    private final class Attempt {
        private final Call mCall;
        private final Runner mRunner;
        private final Instant mStartedAt = mScheduler.now();
        private int mEvents;
        private boolean mEnded;

        Attempt(Call call, Runner runner) {
            mCall = call;
            mRunner = runner;
            runner.mAttempts.add(this);
            Duration read = Duration.ofMillis(1 + mRandom.nextInt(MAX_READ_MILLIS));
            boolean hasModel = call.mHome == null || call.mHome.contains(runner);
            mScheduler.schedule(hasModel ? read : read.plus(LOAD_TIME), this::nextEvent);
        }

        private void nextEvent() {
            if (mEnded) {
                return;
            }
            if (mCall.isDeadly()) {
                mDeadlyCrashes++;
                if (mDeadlyCrashes == CRASHES_IN_BOUND) {
                    mBoundFrom = mScheduler.now().plus(BOUND);
                }
                mRunner.crash();
                return;
            }
            mEvents++;
            if (mEvents == PROOF_EVENTS || mEvents >= mCall.mLength) {
                mCall.mDaemon.mAnswered.add(mCall.mPrompt);
            }
            if (mEvents >= mCall.mLength) {
                mEnded = true;
                mRunner.mAttempts.remove(this);
                return;
            }
            mScheduler.schedule(EVENT_INTERVAL, this::nextEvent);
        }

        void breakOff(EndpointId runner) {
            mEnded = true;
            if (mEvents < PROOF_EVENTS) {
                mCall.mDaemon.reportAnswers();
                mCall.mDaemon.decide(
                        new QuarantineEvent.AnswerBroken(
                                runner,
                                new SuspectCall(
                                        mCall.mRequest,
                                        mCall.mPrompt,
                                        Duration.between(mStartedAt, mScheduler.now()))));
            }
            mScheduler.schedule(MESSAGE_DELAY, mCall::start);
        }
    }

    /** A request of a client at a daemon. */
    private final class Call {
        private final String mRequest = "request-" + mNextName++;
        private final Prompt mPrompt;
        private final Daemon mDaemon = mDaemons.get(mRandom.nextInt(mDaemons.size()));
        private final int mLength;
        private final boolean mIsRepeat;
        private int mAttempts;
        private boolean mIsTrial;

        /** The group of runners that the call prefers, or null. */
        private final @Nullable List<Runner> mHome;

        Call(Prompt prompt, int length, boolean isRepeat, @Nullable List<Runner> home) {
            mPrompt = prompt;
            mLength = length;
            mIsRepeat = isRepeat;
            mHome = home;
        }

        boolean isDeadly() {
            return mPrompt.sharedParts().contains(DEADLY);
        }

        void start() {
            boolean isQuarantined = mDaemon.refuses(mPrompt);
            if (isQuarantined && (mIsTrial || mDaemon.refusesNow(mPrompt))) {
                refused();
                return;
            }
            mIsTrial |= isQuarantined;
            Runner runner = mAttempts < ATTEMPTS ? chooseRunner(this) : null;
            if (runner != null) {
                mAttempts++;
                boolean isLate = isDeadly() && mScheduler.now().isAfter(mBoundFrom);
                mDeadlyCallsAfterBound += isLate ? 1 : 0;
                new Attempt(this, runner);
            } else if (!mIsRepeat) {
                mScheduler.schedule(
                        CLIENT_PAUSE, () -> new Call(mPrompt, mLength, true, mHome).start());
            }
        }

        void refused() {
            mSoundCallsRefused += isDeadly() ? 0 : 1;
            if (mHome != null) {
                mRefusedApplications.add(mPrompt.sharedParts().get(0));
            }
        }
    }

    private @Nullable Runner chooseRunner(Call call) {
        List<Runner> home = call.mHome == null ? List.of() : upRunners(call.mHome);
        if (!home.isEmpty()) {
            return home.get(mRandom.nextInt(home.size()));
        }
        String key = call.mPrompt.sharedParts().toString();
        Runner best = null;
        for (Runner runner : mRunners) {
            if (runner.mIsUp
                    && (best == null
                            || RendezvousRanking.weight(key, runner.mId.value())
                                    > RendezvousRanking.weight(key, best.mId.value()))) {
                best = runner;
            }
        }
        return best;
    }

    private static List<Runner> upRunners(List<Runner> runners) {
        return runners.stream().filter(runner -> runner.mIsUp).toList();
    }

    QuarantineResult run() {
        Set<MemberId> members = new HashSet<>();
        mDaemons.forEach(daemon -> members.add(daemon.mId));
        for (Daemon daemon : mDaemons) {
            daemon.decide(new QuarantineEvent.EntriesStored(List.of(), Revision.ABSENT));
            daemon.decide(new QuarantineEvent.MembersChanged(members));
            repeat(() -> REPORT_PERIOD, daemon::reportAnswers);
            repeat(() -> TICK, () -> daemon.decide(new QuarantineEvent.TimerFired()));
        }
        repeat(() -> untilNext(mScenario.callsPerSecond()), this::arrive);
        if (mScenario.otherCrashesPerSecond() > 0) {
            repeat(() -> untilNext(mScenario.otherCrashesPerSecond()), this::crashAnyRunner);
        }
        if (mScenario.crashGroup() != CrashGroup.NONE) {
            repeat(() -> APPLICATION_PERIOD, this::startApplication);
        }
        mScheduler.runUntil(Instant.EPOCH.plus(mScenario.length()));
        return new QuarantineResult(
                mDeadlyCrashes,
                mOtherCrashes,
                mDeadlyCallsAfterBound,
                mSoundCalls,
                mSoundCallsRefused,
                wrongPatterns(),
                mApplications,
                mRefusedApplications.size());
    }

    private void repeat(Supplier<Duration> pause, Runnable action) {
        mScheduler.schedule(
                pause.get(),
                () -> {
                    action.run();
                    repeat(pause, action);
                });
    }

    private Duration untilNext(double perSecond) {
        double seconds = -Math.log(1 - mRandom.nextDouble()) / perSecond;
        return Duration.ofNanos((long) (seconds * Duration.ofSeconds(1).toNanos()));
    }

    private void arrive() {
        boolean deadly = mRandom.nextDouble() < mScenario.deadlyShare();
        List<PromptPart> shared = new ArrayList<>();
        shared.add(new PromptPart("first-" + mRandom.nextInt(deadly ? 1 : FIRST_PARTS)));
        shared.add(new PromptPart("subject-" + (deadly ? 0 : mRandom.nextInt(SUBJECTS))));
        if (deadly) {
            shared.add(DEADLY);
        }
        mSoundCalls += deadly ? 0 : 1;
        int length = 1 + (int) (-Math.log(1 - mRandom.nextDouble()) * MEAN_EVENTS);
        Prompt prompt = new Prompt(shared, new PromptPart("own-" + mNextName++));
        new Call(prompt, length, false, null).start();
    }

    /** Starts an application that was idle, and lets the runners that serve it end together. */
    private void startApplication() {
        PromptPart part = new PromptPart("application-" + mApplications++);
        List<Runner> home = mScenario.crashGroup().choose(mRunners, Runner::failureDomain, mRandom);
        Instant end = mScheduler.now().plus(APPLICATION_TIME);
        for (int user = 0; user < APPLICATION_USERS; user++) {
            Duration delay = Duration.ofMillis(mRandom.nextInt(START_SPREAD_MILLIS));
            mScheduler.schedule(delay, () -> ask(part, home, end));
        }
        for (Duration crash : mScenario.crashGroup().crashes()) {
            for (Runner runner : home) {
                Duration spread = Duration.ofMillis(mRandom.nextInt(GROUP_SPREAD_MILLIS));
                mScheduler.schedule(
                        GROUP_CRASH_DELAY.plus(crash).plus(spread), () -> crash(runner));
            }
        }
    }

    /** A user of an application asks again and again. */
    private void ask(PromptPart application, List<Runner> home, Instant end) {
        if (mScheduler.now().isAfter(end)) {
            return;
        }
        mSoundCalls++;
        Prompt prompt = new Prompt(List.of(application), new PromptPart("own-" + mNextName++));
        new Call(prompt, (int) MEAN_EVENTS, false, home).start();
        mScheduler.schedule(THINKING_TIME, () -> ask(application, home, end));
    }

    private void crashAnyRunner() {
        crash(mRunners.get(mRandom.nextInt(mRunners.size())));
    }

    private void crash(Runner runner) {
        if (runner.mIsUp) {
            mOtherCrashes++;
            runner.crash();
        }
    }

    /** Returns how many of the sound prompts of shared parts only are refused by any daemon. */
    private int wrongPatterns() {
        int wrong = 0;
        for (int first = 0; first < FIRST_PARTS; first++) {
            for (int subject = 0; subject < SUBJECTS; subject++) {
                Prompt prompt =
                        new Prompt(
                                List.of(
                                        new PromptPart("first-" + first),
                                        new PromptPart("subject-" + subject)),
                                null);
                boolean refused = mDaemons.stream().anyMatch(daemon -> daemon.refuses(prompt));
                wrong += refused ? 1 : 0;
            }
        }
        return wrong;
    }
}
