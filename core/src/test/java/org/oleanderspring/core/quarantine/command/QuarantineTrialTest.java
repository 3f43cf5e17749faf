package org.oleanderspring.core.quarantine.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.oleanderspring.core.quarantine.Prompt;

/** What daemons learn about a decision from the calls that they let through as trials. */
class QuarantineTrialTest {
    private static final int DAEMONS = 5;
    private static final Duration MESSAGE_TIME = Duration.ofSeconds(2);

    private final QuarantineFleet mFleet = new QuarantineFleet(DAEMONS);
    private final Prompt mSuspected = mFleet.prompt("suspected");
    private int mNextRunner;

    private String newRunner() {
        return "runner-" + mNextRunner++;
    }

    /** Lets runners crash one after the other until the daemons refuse the prompt. */
    private void suspect() {
        for (int crash = 0; crash < DAEMONS; crash++) {
            mFleet.breakAnswer(crash, newRunner(), mSuspected);
        }
        mFleet.pass(MESSAGE_TIME);
    }

    /** Lets all daemons refuse a call and returns the one that may let the next one through. */
    private int refuseEverywhere() {
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            mFleet.refuse(daemon, mSuspected);
        }
        return trialDaemon();
    }

    private int trialDaemon() {
        int found = -1;
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            if (mFleet.isOnTrial(daemon, mSuspected)) {
                assertThat("a second daemon makes a trial", found, is(-1));
                found = daemon;
            }
        }
        return found;
    }

    /** Guards against callers who are told for good that their requests are refused. */
    @Test
    void decisionIsOnlyASuspicionBeforeATrial() {
        suspect();
        assertThat(mFleet.isRefusedEverywhere(mSuspected), is(true));
        assertThat(mFleet.isConfirmed(0, mSuspected), is(false));
    }

    /** Guards against a wrong decision that refuses everything and so never proves wrong. */
    @Test
    void oneDaemonLetsACallThroughAndItsAnswerWithdrawsTheDecision() {
        suspect();
        int daemon = refuseEverywhere();
        assertThat(daemon >= 0, is(true));
        mFleet.answer(daemon, mSuspected);
        assertThat(mFleet.isRefusedAnywhere(mSuspected), is(false));
        mFleet.pass(MESSAGE_TIME);
        assertThat(mFleet.isRefusedAnywhere(mSuspected), is(false));
    }

    /** Guards against requests that go on to crash runners after a trial has shown that they do. */
    @Test
    void crashUnderATrialConfirmsTheDecisionAndPutsTheNextTrialOff() {
        suspect();
        int daemon = refuseEverywhere();
        mFleet.breakAnswer(daemon, newRunner(), mSuspected);
        mFleet.pass(MESSAGE_TIME);
        for (int other = 0; other < DAEMONS; other++) {
            assertThat(mFleet.isConfirmed(other, mSuspected), is(true));
        }
        mFleet.pass(Trials.RECHECK_DELAY.minus(MESSAGE_TIME.multipliedBy(2)));
        assertThat(refuseEverywhere(), is(-1));
        mFleet.pass(MESSAGE_TIME.multipliedBy(2));
        assertThat(refuseEverywhere() >= 0, is(true));
    }

    /** Guards against a trial that seems to confirm, because its runner ended with a group. */
    @Test
    void trialWhoseRunnerEndsTogetherWithOthersIsRepeated() {
        suspect();
        int daemon = refuseEverywhere();
        mFleet.breakAnswer(daemon, newRunner(), mSuspected);
        mFleet.breakAnswer(daemon, newRunner(), mFleet.prompt("unrelated"), Duration.ofMillis(90));
        mFleet.pass(Trials.GRANT_TIME);
        assertThat(mFleet.isConfirmed(daemon, mSuspected), is(false));
        mFleet.pass(Trials.RETRY_DELAY);
        assertThat(refuseEverywhere() >= 0, is(true));
    }

    /** Guards against trials that daemons begin without knowing of each other. */
    @Test
    void noTrialBeginsWhileTheStoreIsSilent() {
        suspect();
        mFleet.setStoreDown(true);
        assertThat(refuseEverywhere(), is(-1));
        mFleet.setStoreDown(false);
        mFleet.pass(Duration.ofSeconds(10));
        assertThat(refuseEverywhere() >= 0, is(true));
    }

    /**
     * Guards against many trials of a part that really crashes runners, because daemons restart,
     * lose messages, or cannot reach the store. The bound is what the delays allow in a minute: 0.5
     * s, 5 s, 10 s and 20 s, each after the one before.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void trialsInTheWholeFleetAreBounded(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        suspect();
        double loss = random.nextDouble();
        mFleet.loseMessages((sender, recipient) -> random.nextDouble() < loss);
        int trials = 0;
        for (int step = 0; step < 600; step++) {
            int daemon = random.nextInt(DAEMONS);
            switch (random.nextInt(20)) {
                case 0 -> mFleet.setStoreDown(random.nextBoolean());
                case 1 -> {
                    mFleet.kill(daemon);
                    mFleet.start(daemon);
                }
                default -> mFleet.refuse(daemon, mSuspected);
            }
            if (mFleet.isOnTrial(daemon, mSuspected)) {
                trials++;
                mFleet.endTrial(daemon, mSuspected);
                if (random.nextBoolean()) {
                    mFleet.breakAnswer(daemon, newRunner(), mSuspected);
                } else {
                    mFleet.kill(daemon);
                    mFleet.start(daemon);
                }
            }
            mFleet.pass(Duration.ofMillis(100));
        }
        assertThat("trials with seed " + seed, trials, is(lessThanOrEqualTo(4)));
    }
}
