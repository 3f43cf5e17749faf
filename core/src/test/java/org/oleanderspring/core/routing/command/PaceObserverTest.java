package org.oleanderspring.core.routing.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.organisation.TokenCount;
import org.oleanderspring.core.quarantine.Prompt;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.CallOrigin;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.DeadlineScope;
import org.oleanderspring.core.routing.Repetition;
import org.oleanderspring.core.routing.Target;

class PaceObserverTest {
    private static final ServiceName SERVICE = new ServiceName("assistant");
    private static final Instant DEADLINE = Instant.EPOCH;

    private final PaceObserver mObserver = new PaceObserver();

    private static CallRequest call(String model, int promptTokens) {
        return new CallRequest(
                new CallId(1),
                new Target.ServiceModelTarget(SERVICE, ModelReference.parse(model)),
                null,
                0,
                DEADLINE,
                0,
                Repetition.RESUMABLE,
                2,
                DeadlineScope.FULL_RESPONSE,
                DEADLINE,
                Prompt.UNKNOWN,
                new CallOrigin(null, new TokenCount(promptTokens, 100)));
    }

    private double add(CallRequest call, long millis, double knownPace) {
        return mObserver.add(SERVICE, call, Duration.ofMillis(millis), knownPace).orElse(1);
    }

    /** Guards against a usual time that rests on one call. */
    @Test
    void firstSamplesShowNoPace() {
        assertThat(
                mObserver.add(SERVICE, call("m1", 800), Duration.ofSeconds(3), 1).isPresent(),
                equalTo(false));
    }

    /** Guards against an endpoint that counts as slow because it read a long prompt. */
    @Test
    void longPromptDoesNotLookSlow() {
        for (int i = 0; i < 30; i++) {
            add(call("m1", 256), 40, 1);
        }
        assertThat(add(call("m1", 1_792), 160, 1), closeTo(1, 0.05));
    }

    /** Load: a few calls wait for seconds. Guards against a usual time that follows them. */
    @Test
    void outliersHardlyChangeTheUsualTime() {
        Random random = new Random(1);
        for (int i = 0; i < 300; i++) {
            add(call("m1", 600), random.nextInt(10) == 0 ? 4_000 : 50, 1);
        }
        assertThat(add(call("m1", 600), 50, 1), both(greaterThan(0.8)).and(lessThan(1.1)));
        assertThat(add(call("m1", 600), 100, 1), both(greaterThan(1.6)).and(lessThan(2.2)));
    }

    /** Guards against an endpoint that counts as fast because it serves a small model. */
    @Test
    void fastModelDoesNotMakeItsEndpointFast() {
        for (int i = 0; i < 100; i++) {
            add(call("large", 600), 100, 1);
            add(call("small", 600), 40, 1);
        }
        assertThat(add(call("small", 600), 40, 1), both(greaterThan(0.8)).and(lessThan(1.25)));
    }

    /** Guards against a factor of a model that hides that its only endpoint is slow. */
    @Test
    void slowEndpointStaysSlowAlthoughItAloneServesItsModel() {
        double pace = 1;
        double paceOfOthers = 1;
        for (int i = 0; i < 400; i++) {
            paceOfOthers += 0.2 * (add(call("common", 600), 50, paceOfOthers) - paceOfOthers);
            paceOfOthers += 0.2 * (add(call("common", 600), 50, paceOfOthers) - paceOfOthers);
            pace += 0.2 * (add(call("rare", 600), 100, pace) - pace);
        }
        assertThat(pace / paceOfOthers, greaterThan(1.7));
    }
}
