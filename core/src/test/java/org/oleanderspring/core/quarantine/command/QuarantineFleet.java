package org.oleanderspring.core.quarantine.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.quarantine.Prompt;
import org.oleanderspring.core.quarantine.PromptPart;
import org.oleanderspring.core.quarantine.QuarantineEntry;
import org.oleanderspring.core.quarantine.RefusedPattern;
import org.oleanderspring.core.quarantine.SuspectCall;
import org.oleanderspring.core.quarantine.query.Quarantine;

/**
 * Deciders of several daemons with a key-value service and a network between them. Messages arrive
 * at once unless they are lost; time passes only by {@link #pass}.
 */
final class QuarantineFleet {
    private static final Duration STEP = Duration.ofMillis(100);

    /** The time after which a call crashes its runner. */
    private static final Duration EXPOSURE = Duration.ofMillis(100);

    private final Map<MemberId, DefaultQuarantineDecider> mDeciders = new LinkedHashMap<>();
    private final Map<MemberId, Quarantine> mEnforced = new LinkedHashMap<>();
    private final Set<EndpointId> mAlive = new HashSet<>();

    /** The daemons and the numbers of the trials that they have made. */
    private final Set<String> mMadeTrials = new HashSet<>();

    private Instant mNow = Instant.parse("2026-01-01T00:00:00Z");
    private BiPredicate<MemberId, MemberId> mIsLost = (sender, recipient) -> false;
    private boolean mStoreDown;
    private List<QuarantineEntry> mStored = List.of();
    private Revision mRevision = Revision.ABSENT;
    private int mMessages;
    private int mWrites;
    private int mNextRequest;

    QuarantineFleet(int daemons) {
        for (int index = 0; index < daemons; index++) {
            start(index);
        }
    }

    static MemberId daemon(int index) {
        return new MemberId("vm-" + index);
    }

    /** Returns a prompt of shared parts and an own part that no other prompt has. */
    Prompt prompt(String... shared) {
        List<PromptPart> parts = new ArrayList<>();
        for (String part : shared) {
            parts.add(new PromptPart(part));
        }
        return new Prompt(parts, new PromptPart("own" + mNextRequest++));
    }

    /** Starts a daemon, which reads the key-value service and joins the others. */
    void start(int index) {
        MemberId member = daemon(index);
        mDeciders.put(member, new DefaultQuarantineDecider(member));
        if (!mStoreDown) {
            decide(member, new QuarantineEvent.EntriesStored(mStored, mRevision));
        }
        announceMembers();
    }

    /** Ends a daemon without a planned stop. */
    void kill(int index) {
        mDeciders.remove(daemon(index));
        mEnforced.remove(daemon(index));
        mMadeTrials.removeIf(trial -> trial.startsWith(index + "/"));
        announceMembers();
    }

    private void announceMembers() {
        for (MemberId member : List.copyOf(mDeciders.keySet())) {
            decide(member, new QuarantineEvent.MembersChanged(Set.copyOf(mDeciders.keySet())));
        }
    }

    void loseMessages(BiPredicate<MemberId, MemberId> isLost) {
        mIsLost = isLost;
    }

    void setStoreDown(boolean down) {
        mStoreDown = down;
    }

    /** Lets a runner answer when it is checked. */
    void keepAlive(String runner) {
        mAlive.add(new EndpointId(runner));
    }

    /** Sends a call of a daemon to a runner, which breaks off the answer after some time. */
    void breakAnswer(int index, String runner, Prompt prompt) {
        pass(EXPOSURE);
        breakAnswer(index, runner, prompt, EXPOSURE);
    }

    /** Lets a runner break off the answer to a call of a daemon that it has had for some time. */
    void breakAnswer(int index, String runner, Prompt prompt, Duration exposure) {
        decide(
                daemon(index),
                new QuarantineEvent.AnswerBroken(
                        new EndpointId(runner),
                        new SuspectCall("r" + mNextRequest++, prompt, exposure)));
    }

    void answer(int index, Prompt... prompts) {
        decide(daemon(index), new QuarantineEvent.CallsAnswered(Set.of(prompts)));
    }

    void receive(int index, QuarantineEntry entry) {
        decide(daemon(index), new QuarantineEvent.EntryReceived(entry));
    }

    /** Writes the stored entries as an operator does. */
    void store(List<QuarantineEntry> entries) {
        mStored = entries;
        mRevision = new Revision(mRevision.value() + 1);
        publishStore();
    }

    void pass(Duration time) {
        Instant end = mNow.plus(time);
        while (mNow.isBefore(end)) {
            mNow = mNow.plus(STEP);
            for (MemberId member : List.copyOf(mDeciders.keySet())) {
                decide(member, new QuarantineEvent.TimerFired());
            }
        }
    }

    /** Lets time pass without ticks. */
    void advance(Duration time) {
        mNow = mNow.plus(time);
    }

    Instant now() {
        return mNow;
    }

    boolean isRefused(int index, Prompt prompt) {
        return mEnforced.getOrDefault(daemon(index), Quarantine.NONE).find(prompt) != null;
    }

    /** Returns whether all daemons refuse a prompt. */
    boolean isRefusedEverywhere(Prompt prompt) {
        return mDeciders.keySet().stream()
                .allMatch(
                        member ->
                                mEnforced.containsKey(member)
                                        && mEnforced.get(member).find(prompt) != null);
    }

    boolean isRefusedAnywhere(Prompt prompt) {
        return mEnforced.values().stream().anyMatch(enforced -> enforced.find(prompt) != null);
    }

    /** Reports that a daemon refused calls with the prompt. */
    void refuse(int index, Prompt prompt) {
        RefusedPattern refused = refused(index, prompt);
        if (refused != null) {
            decide(daemon(index), new QuarantineEvent.CallsRefused(Set.of(refused.pattern())));
        }
    }

    /** Returns whether a daemon may let a call with the prompt through as a trial. */
    boolean isOnTrial(int index, Prompt prompt) {
        RefusedPattern refused = refused(index, prompt);
        return refused != null
                && refused.trial() != 0
                && !mMadeTrials.contains(index + "/" + refused.trial());
    }

    /** Records that a daemon has let a call through, so it may not let another one through. */
    void endTrial(int index, Prompt prompt) {
        RefusedPattern refused = refused(index, prompt);
        if (refused != null) {
            mMadeTrials.add(index + "/" + refused.trial());
        }
    }

    boolean isConfirmed(int index, Prompt prompt) {
        RefusedPattern refused = refused(index, prompt);
        return refused != null && refused.isConfirmed();
    }

    private @Nullable RefusedPattern refused(int index, Prompt prompt) {
        return mEnforced.getOrDefault(daemon(index), Quarantine.NONE).find(prompt);
    }

    int patterns(int index) {
        return mEnforced.getOrDefault(daemon(index), Quarantine.NONE).patterns().size();
    }

    boolean isWaiting(int index) {
        return mDeciders.get(daemon(index)).isWaiting();
    }

    List<QuarantineEntry> stored() {
        return mStored;
    }

    int messages() {
        return mMessages;
    }

    int writes() {
        return mWrites;
    }

    private void decide(MemberId member, QuarantineEvent event) {
        DefaultQuarantineDecider decider = mDeciders.get(member);
        for (QuarantineDecision decision : decider.decide(event, mNow)) {
            execute(member, decision);
        }
    }

    private void execute(MemberId member, QuarantineDecision decision) {
        if (decision instanceof QuarantineDecision.CheckRunner check) {
            boolean isAlive = mAlive.contains(check.runner());
            decide(member, new QuarantineEvent.RunnerChecked(check.runner(), isAlive));
        } else if (decision instanceof QuarantineDecision.SendCrash send) {
            for (MemberId recipient : send.recipients()) {
                deliver(member, recipient, new QuarantineEvent.CrashReported(member, send.crash()));
            }
        } else if (decision instanceof QuarantineDecision.SendSoundParts send) {
            deliver(member, send.recipient(), new QuarantineEvent.SoundPartsReported(send.parts()));
        } else if (decision instanceof QuarantineDecision.SendEntry send) {
            for (MemberId recipient : send.recipients()) {
                deliver(member, recipient, new QuarantineEvent.EntryReceived(send.entry()));
            }
        } else if (decision instanceof QuarantineDecision.StoreEntries store) {
            write(member, store);
        } else if (decision instanceof QuarantineDecision.Enforce enforce) {
            mEnforced.put(member, enforce.quarantine());
        }
    }

    private void deliver(MemberId sender, MemberId recipient, QuarantineEvent event) {
        mMessages++;
        if (!mIsLost.test(sender, recipient) && mDeciders.containsKey(recipient)) {
            decide(recipient, event);
        }
    }

    private void write(MemberId member, QuarantineDecision.StoreEntries store) {
        mWrites++;
        if (mStoreDown) {
            decide(member, new QuarantineEvent.StoreFailed());
        } else if (!store.expected().equals(mRevision)) {
            decide(member, new QuarantineEvent.WriteRejected(mStored, mRevision));
        } else {
            mStored = store.entries();
            mRevision = new Revision(mRevision.value() + 1);
            decide(member, new QuarantineEvent.EntriesWritten(mStored, mRevision));
            publishStore();
        }
    }

    private void publishStore() {
        for (MemberId member : List.copyOf(mDeciders.keySet())) {
            decide(member, new QuarantineEvent.EntriesStored(mStored, mRevision));
        }
    }
}
