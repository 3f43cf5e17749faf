package org.oleanderspring.core.routing.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

class EndpointPaceTest {
    /** Load: runners that are alike. Guards against choices that follow the noise of estimates. */
    @Test
    void smallDifferencesHaveNoEffect() {
        for (double pace : new double[] {0.88, 1, 1.14}) {
            assertThat(EndpointPace.equivalentCalls(7, pace), equalTo(7.0));
        }
    }

    /** Guards against a step in the work, at which calls would move back and forth. */
    @Test
    void workGrowsWithPaceWithoutStep() {
        double previous = EndpointPace.equivalentCalls(5, 0.3);
        for (int percent = 31; percent <= 400; percent++) {
            double work = EndpointPace.equivalentCalls(5, percent / 100.0);
            assertThat("pace " + percent, work - previous, lessThan(0.15));
            assertThat("pace " + percent, work - previous, greaterThan(-1e-9));
            previous = work;
        }
    }

    /** Load: runners with paces of 0.7 and 1.7. The fast one takes calls while both are idle. */
    @Test
    void idleFastEndpointHasLessWorkThanIdleSlowOne() {
        double fast = EndpointPace.equivalentCalls(2, 0.7);
        double slow = EndpointPace.equivalentCalls(0, 1.7);
        assertThat(fast, lessThan(slow));
        assertThat(slow, closeTo(1.91, 0.01));
    }
}
