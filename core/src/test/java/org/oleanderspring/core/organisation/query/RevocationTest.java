package org.oleanderspring.core.organisation.query;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

/** Random orders of cuts, freezes, losses, delays and changes around the revocation of a key. */
class RevocationTest {
    private static final int SEEDS = 300;

    /** Guards against a daemon without contact that goes on to accept a key that was taken away. */
    @Test
    void noKeyIsAcceptedLaterThanTheLimitAfterItsRevocation() {
        int accepted = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            RevocationSimulation run =
                    new RevocationSimulation(seed, true, RevocationSimulation.REVOCATION_LIMIT);
            run.run();
            assertThat("seed " + seed, run.mAcceptedTooLate, is(0));
            accepted += run.mAccepted;
        }
        assertThat(accepted, greaterThan(SEEDS));
    }

    /** Shows that the disturbances do endanger the limit: without proofs it is not kept. */
    @Test
    void withoutProofsKeysAreAcceptedTooLate() {
        int tooLate = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            RevocationSimulation run = new RevocationSimulation(seed, true, null);
            run.run();
            tooLate += run.mAcceptedTooLate;
        }
        assertThat(tooLate, greaterThan(0));
    }

    /** Guards against a slow store whose polls are given up, so that proofs come too late. */
    @Test
    void slowStoreDoesNotTurnRequestsAway() {
        for (int seed = 0; seed < SEEDS / 10; seed++) {
            RevocationSimulation run =
                    new RevocationSimulation(seed, false, RevocationSimulation.REVOCATION_LIMIT);
            run.slow(300);
            run.run();
            assertThat("seed " + seed, run.mUnverified, lessThan(60));
        }
    }

    /** Guards against a bound that refuses requests while the store answers. */
    @Test
    void proofsStayYoungWhileTheStoreAnswers() {
        for (int seed = 0; seed < SEEDS / 10; seed++) {
            RevocationSimulation run =
                    new RevocationSimulation(seed, false, RevocationSimulation.REVOCATION_LIMIT);
            run.run();
            assertThat("seed " + seed, run.mOldestProof, lessThan(4_000L));
            assertThat("seed " + seed, run.mUnverified, lessThan(3));
        }
    }
}
