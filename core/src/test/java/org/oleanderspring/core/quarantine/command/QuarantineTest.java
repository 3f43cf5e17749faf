package org.oleanderspring.core.quarantine.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.quarantine.Prompt;
import org.oleanderspring.core.quarantine.PromptPart;
import org.oleanderspring.core.quarantine.PromptPattern;
import org.oleanderspring.core.quarantine.QuarantineEntry;
import org.oleanderspring.core.quarantine.RunnerCrash;
import org.oleanderspring.core.quarantine.SuspectCall;

/** What daemons conclude together from the ends of runners. */
class QuarantineTest {
    /** The time by which a decision must be in force after the fifth crash. */
    private static final Duration BOUND = Duration.ofSeconds(3);

    private static final int DAEMONS = 5;

    private final QuarantineFleet mFleet = new QuarantineFleet(DAEMONS);
    private final Prompt mDeadly = mFleet.prompt("first", "dead");
    private final Prompt mSound = mFleet.prompt("first", "sound");

    /** Lets each daemon see one crash under a prompt with the part "dead". */
    private void crashOncePerDaemon() {
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            mFleet.breakAnswer(daemon, "runner-" + daemon, mFleet.prompt("first", "dead"));
        }
    }

    /** Guards against evidence that stays at the daemon that saw it. */
    @Test
    void crashesSeenByOneDaemonEachCountTogether() {
        mFleet.answer(0, mSound);
        crashOncePerDaemon();
        mFleet.pass(BOUND);
        assertThat(mFleet.isRefusedEverywhere(mDeadly), is(true));
        assertThat(mFleet.isRefusedAnywhere(mSound), is(false));
    }

    /** Guards against the refusal of sound calls whose first part is in all deadly prompts. */
    @Test
    void partSharedWithSoundCallsIsNotRefusedWhileNoRunnerAnswers() {
        for (int crash = 0; crash < 6; crash++) {
            mFleet.breakAnswer(0, "runner-" + crash, mFleet.prompt("first", "dead"));
            mFleet.breakAnswer(0, "runner-" + crash, mFleet.prompt("first", "other" + crash));
        }
        mFleet.pass(BOUND);
        assertThat(mFleet.isRefusedEverywhere(mDeadly), is(true));
        assertThat(mFleet.isRefusedAnywhere(mSound), is(false));
    }

    /** Guards against the refusal of a call that was repeated beside the deadly one. */
    @Test
    void bystanderThatMovesWithTheDeadlyCallIsNotRefused() {
        mFleet.answer(0, mSound);
        Prompt bystander = mFleet.prompt("first", "rare");
        Prompt otherBystander = mFleet.prompt("first", "rare");
        for (int crash = 0; crash < 5; crash++) {
            mFleet.breakAnswer(0, "runner-" + crash, mFleet.prompt("first", "dead"));
            if (crash < 4) {
                mFleet.breakAnswer(1, "runner-" + crash, bystander);
                mFleet.breakAnswer(1, "runner-" + crash, otherBystander);
            }
        }
        mFleet.pass(BOUND);
        assertThat(mFleet.isRefusedEverywhere(mDeadly), is(true));
        assertThat(mFleet.isRefusedAnywhere(bystander), is(false));
        assertThat(mFleet.isRefusedAnywhere(mFleet.prompt("first", "rare")), is(false));
    }

    /** Guards against a caller that adds the parts of others to its deadly prompts. */
    @Test
    void partThatOnlyAccompaniesADeadlyOneIsNotRefusedAlone() {
        mFleet.answer(0, mSound);
        for (int crash = 0; crash < 5; crash++) {
            mFleet.breakAnswer(crash, "runner-" + crash, mFleet.prompt("victim", "dead"));
        }
        mFleet.pass(BOUND);
        assertThat(mFleet.isRefusedEverywhere(mFleet.prompt("victim", "dead")), is(true));
        assertThat(mFleet.isRefusedAnywhere(mFleet.prompt("victim", "other")), is(false));
    }

    /** Guards against two deadly parts of which only the first one is found. */
    @Test
    void severalDeadlyPartsAreFoundSeparately() {
        mFleet.answer(0, mSound);
        for (int crash = 0; crash < 5; crash++) {
            mFleet.breakAnswer(crash, "a-" + crash, mFleet.prompt("first", "dead"));
            mFleet.breakAnswer(crash, "b-" + crash, mFleet.prompt("first", "poison"));
        }
        mFleet.pass(BOUND);
        assertThat(mFleet.isRefusedEverywhere(mDeadly), is(true));
        assertThat(mFleet.isRefusedEverywhere(mFleet.prompt("first", "poison")), is(true));
        assertThat(mFleet.isRefusedAnywhere(mSound), is(false));
    }

    /**
     * Guards against the refusal of an application that was idle, because runners that serve it end
     * together by a cause outside of its prompts. None of its calls was answered before.
     */
    @Test
    void runnersThatEndTogetherAreOnePieceOfEvidence() {
        for (int crash = 0; crash < 8; crash++) {
            for (int daemon = 0; daemon < DAEMONS; daemon++) {
                mFleet.breakAnswer(
                        daemon,
                        "runner-" + crash,
                        mFleet.prompt("idle"),
                        Duration.ofMillis(100L + crash));
            }
        }
        mFleet.pass(BOUND);
        assertThat(mFleet.isRefusedAnywhere(mFleet.prompt("idle")), is(false));
    }

    /**
     * Guards against a decision that concerns a single request, because all its attempts crashed
     * their runners, before another request shows what they have in common.
     */
    @Test
    void attemptsOfOneRequestAreNotEnough() {
        Prompt request = mFleet.prompt("dead");
        for (int crash = 0; crash < 3; crash++) {
            mFleet.breakAnswer(0, "runner-" + crash, request);
        }
        mFleet.pass(BOUND);
        assertThat(mFleet.isRefusedAnywhere(request), is(false));
        mFleet.breakAnswer(1, "runner-3", mFleet.prompt("dead"));
        mFleet.pass(BOUND);
        assertThat(mFleet.isRefusedEverywhere(mFleet.prompt("dead")), is(true));
    }

    /**
     * Guards against the refusal of calls that were sent from one runner to the next while a group
     * of runners ended, which takes some milliseconds.
     */
    @Test
    void callsThatMoveThroughAGroupOfEndingRunnersAreNoEvidence() {
        for (int crash = 0; crash < 8; crash++) {
            mFleet.breakAnswer(0, "runner-" + crash, mFleet.prompt("idle"), Duration.ofMillis(15));
            mFleet.advance(Duration.ofMillis(15));
        }
        mFleet.pass(BOUND);
        assertThat(mFleet.isRefusedAnywhere(mFleet.prompt("idle")), is(false));
    }

    /** Guards against answers that break off at running runners and count as crashes. */
    @Test
    void brokenAnswerOfARunnerThatStillAnswersIsNoEvidence() {
        for (int crash = 0; crash < 6; crash++) {
            mFleet.keepAlive("runner-" + crash);
            mFleet.breakAnswer(crash % DAEMONS, "runner-" + crash, mDeadly);
        }
        mFleet.pass(BOUND);
        assertThat(mFleet.isRefusedAnywhere(mDeadly), is(false));
        assertThat(mFleet.messages(), is(0));
    }

    /** Guards against a part that is refused although another daemon knows that it is answered. */
    @Test
    void answerAtAnyDaemonShowsThatAPartIsSound() {
        mFleet.answer(4, mFleet.prompt("first", "dead"));
        for (int crash = 0; crash < 6; crash++) {
            mFleet.breakAnswer(0, "runner-" + crash, mFleet.prompt("first", "dead"));
        }
        mFleet.pass(BOUND);
        assertThat(mFleet.isRefusedAnywhere(mDeadly), is(false));
    }

    /** Guards against daemons that never learn of a crash because one message was lost. */
    @Test
    void lostMessagesAreRepeated() {
        mFleet.answer(0, mSound);
        mFleet.loseMessages((sender, recipient) -> true);
        crashOncePerDaemon();
        mFleet.loseMessages((sender, recipient) -> false);
        mFleet.pass(BOUND);
        assertThat(mFleet.isRefusedEverywhere(mDeadly), is(true));
    }

    /** Guards against a quarantine that needs the key-value service to take effect. */
    @Test
    void decisionIsInForceWhileTheStoreIsSilentAndIsWrittenLater() {
        mFleet.answer(0, mSound);
        mFleet.setStoreDown(true);
        crashOncePerDaemon();
        mFleet.pass(BOUND);
        assertThat(mFleet.isRefusedEverywhere(mDeadly), is(true));
        assertThat(mFleet.stored(), is(List.of()));
        mFleet.pass(Duration.ofMinutes(1));
        mFleet.setStoreDown(false);
        mFleet.pass(Duration.ofSeconds(10));
        assertThat(mFleet.stored().size(), is(1));
        assertThat(mFleet.isWaiting(0), is(false));
    }

    /** Guards against a daemon that is cut off from the others and misses the decision. */
    @Test
    void daemonThatMissesAllMessagesLearnsFromTheStore() {
        mFleet.answer(0, mSound);
        MemberId cutOff = QuarantineFleet.daemon(4);
        mFleet.loseMessages(
                (sender, recipient) -> sender.equals(cutOff) || recipient.equals(cutOff));
        for (int crash = 0; crash < 5; crash++) {
            mFleet.breakAnswer(crash % 4, "runner-" + crash, mFleet.prompt("first", "dead"));
        }
        mFleet.pass(BOUND);
        assertThat(mFleet.isRefused(4, mDeadly), is(true));
    }

    /** Guards against a decision that is lost with the daemon that reached it. */
    @Test
    void decisionOutlivesItsDaemonAndReachesOneThatStartsLater() {
        mFleet.answer(0, mSound);
        mFleet.setStoreDown(true);
        for (int crash = 0; crash < 5; crash++) {
            mFleet.breakAnswer(0, "runner-" + crash, mFleet.prompt("first", "dead"));
        }
        mFleet.pass(Duration.ofMillis(500));
        mFleet.kill(0);
        mFleet.setStoreDown(false);
        mFleet.pass(Duration.ofSeconds(20));
        assertThat(mFleet.stored().size(), is(1));
        mFleet.loseMessages((sender, recipient) -> true);
        mFleet.start(7);
        assertThat(mFleet.isRefused(7, mDeadly), is(true));
    }

    /** Guards against evidence that is lost when daemons restart one after the other. */
    @Test
    void evidenceOutlivesTheRestartOfAllDaemons() {
        mFleet.answer(0, mSound);
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            mFleet.breakAnswer(daemon, "runner-" + daemon, mFleet.prompt("first", "dead"));
            mFleet.kill(daemon);
            mFleet.start(daemon);
        }
        mFleet.breakAnswer(0, "runner-5", mFleet.prompt("first", "dead"));
        mFleet.pass(BOUND);
        assertThat(mFleet.isRefusedEverywhere(mDeadly), is(true));
        assertThat(mFleet.isRefusedAnywhere(mSound), is(false));
    }

    /** Guards against a daemon that refuses calls before it knows what the others have decided. */
    @Test
    void nothingIsEnforcedBeforeTheStoreWasRead() {
        mFleet.setStoreDown(true);
        mFleet.start(7);
        crashOncePerDaemon();
        mFleet.pass(BOUND);
        assertThat(mFleet.isRefused(0, mDeadly), is(true));
        assertThat(mFleet.isRefused(7, mDeadly), is(false));
    }

    /** Guards against a wrong decision that holds although a call with the pattern was answered. */
    @Test
    void answeredCallWithdrawsTheDecision() {
        mFleet.answer(0, mSound);
        crashOncePerDaemon();
        mFleet.pass(BOUND);
        mFleet.answer(3, mDeadly);
        assertThat(mFleet.isRefusedAnywhere(mDeadly), is(false));
        assertThat(mFleet.stored().get(0).isWithdrawn(), is(true));
        mFleet.pass(BOUND);
        assertThat(mFleet.isRefusedAnywhere(mDeadly), is(false));
    }

    /** Guards against a withdrawn decision that comes back from a daemon that missed this. */
    @Test
    void entryWithdrawnByAnOperatorIsNotInForceAgain() {
        mFleet.answer(0, mSound);
        crashOncePerDaemon();
        mFleet.pass(BOUND);
        QuarantineEntry entry = mFleet.stored().get(0);
        mFleet.store(List.of(entry.withdrawn()));
        assertThat(mFleet.isRefusedAnywhere(mDeadly), is(false));
        mFleet.receive(2, entry);
        mFleet.pass(Duration.ofSeconds(20));
        assertThat(mFleet.isRefusedAnywhere(mDeadly), is(false));
        assertThat(mFleet.stored().get(0).isWithdrawn(), is(true));
        for (int crash = 10; crash < 15; crash++) {
            mFleet.breakAnswer(0, "runner-" + crash, mFleet.prompt("first", "dead"));
        }
        mFleet.pass(BOUND);
        assertThat(mFleet.isRefusedEverywhere(mDeadly), is(true));
    }

    /** Guards against refusals without end, and against as many crashes again after their end. */
    @Test
    void refusalsEndAndASingleCrashRenewsThem() {
        mFleet.answer(0, mSound);
        crashOncePerDaemon();
        mFleet.pass(QuarantineEntry.REFUSAL_TIME.plusSeconds(5));
        assertThat(mFleet.isRefusedAnywhere(mDeadly), is(false));
        mFleet.breakAnswer(2, "runner-9", mDeadly);
        mFleet.pass(BOUND);
        assertThat(mFleet.isRefusedEverywhere(mDeadly), is(true));
    }

    /** Guards against traffic and writes while no runner crashes. */
    @Test
    void nothingIsSentWhileNothingCrashes() {
        mFleet.answer(0, mSound);
        mFleet.answer(1, mFleet.prompt("first", "other"));
        mFleet.pass(Duration.ofMinutes(1));
        assertThat(mFleet.messages(), is(0));
        assertThat(mFleet.writes(), is(0));
        assertThat(mFleet.isWaiting(0), is(false));
    }

    /** Guards against memory that grows with parts that never come again. */
    @Test
    void memoryIsBounded() {
        SoundParts sound = new SoundParts();
        CrashLog crashes = new CrashLog();
        EntryTable table = new EntryTable();
        for (int index = 0; index < 20_000; index++) {
            PromptPart part = new PromptPart("part" + index);
            sound.add(part, mFleet.now());
            if (index < 1_000) {
                table.merge(
                        new QuarantineEntry(
                                new PromptPattern(List.of(part)),
                                1,
                                false,
                                true,
                                1,
                                mFleet.now().plusSeconds(index),
                                List.of(),
                                List.of()),
                        mFleet.now());
                crashes.add(crash(index));
            }
        }
        assertThat(sound.size(), is(8_192));
        assertThat(sound.contains(new PromptPart("part19999"), mFleet.now()), is(true));
        assertThat(crashes.crashes().size(), is(CrashLog.MAX_CRASHES));
        assertThat(table.entries().size(), is(EntryTable.MAX_ENTRIES));
        assertThat(
                table.covers(new PromptPattern(List.of(new PromptPart("part999"))), mFleet.now()),
                is(true));
    }

    private RunnerCrash crash(int index) {
        return new RunnerCrash(
                new EndpointId("runner-" + index),
                mFleet.now(),
                List.of(
                        new SuspectCall(
                                "r" + index,
                                mFleet.prompt("first", "part" + index),
                                Duration.ZERO)));
    }

    /** Guards against every daemon of a large fleet writing, replying or waiting for long. */
    @Test
    void crashInALargeFleetCausesFewWrites() {
        int daemons = 200;
        QuarantineFleet fleet = new QuarantineFleet(daemons);
        fleet.answer(0, fleet.prompt("first", "sound"));
        for (int crash = 0; crash < 5; crash++) {
            fleet.breakAnswer(crash, "runner-" + crash, fleet.prompt("first", "dead"));
        }
        fleet.pass(BOUND);
        assertThat(fleet.isRefusedEverywhere(fleet.prompt("first", "dead")), is(true));
        assertThat(fleet.writes(), is(lessThanOrEqualTo(5)));
        for (int daemon = 0; daemon < daemons; daemon++) {
            assertThat("daemon " + daemon + " waits", fleet.isWaiting(daemon), is(false));
        }
        int announcements = 3 * (5 + 5) * (daemons - 1);
        assertThat(fleet.messages(), is(lessThanOrEqualTo(announcements + 5 * daemons)));
    }
}
