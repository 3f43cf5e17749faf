package org.oleanderspring.core.routing.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hamcrest.Matchers;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.core.routing.Target;

class SlidingWindowRetryBudgetFuzz {
    private static final int PERCENT = 20;
    private static final int EXTRA = 5;
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final RoutingLimits LIMITS =
            new RoutingLimits(100, 3, PERCENT, Duration.ofSeconds(1), EXTRA, WINDOW);
    private static final Target SERVICE = new Target.ServiceTarget(new ServiceName("orders"));

    /** Guards against bursts of retries in a window that straddles the counter slices. */
    @Property(seed = "20261204", tries = 300)
    void noWindowHoldsMoreRetriesThanAllowed(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SlidingWindowRetryBudget budget = new SlidingWindowRetryBudget();
        List<Instant> firstAttempts = new ArrayList<>();
        List<Instant> retries = new ArrayList<>();
        Instant now = Instant.ofEpochMilli(random.nextLong(1_000_000_000L));
        for (int step = 0; step < 600; step++) {
            now = now.plusMillis(random.nextInt(random.nextInt(1, 400)));
            if (random.nextInt(3) > 0) {
                budget.recordFirstAttempt(SERVICE, LIMITS, now);
                firstAttempts.add(now);
            } else if (budget.tryTakeRetry(SERVICE, LIMITS, now)) {
                retries.add(now);
                check(firstAttempts, retries, now);
            }
        }
    }

    private static void check(List<Instant> firstAttempts, List<Instant> retries, Instant now) {
        Instant from = now.minus(WINDOW);
        long allowed = inWindow(firstAttempts, from) * PERCENT / 100 + EXTRA;
        assertThat(inWindow(retries, from), lessThanOrEqualTo(allowed));
    }

    private static long inWindow(List<Instant> times, Instant from) {
        return times.stream().filter(time -> time.isAfter(from)).count();
    }

    /** Guards against retries of one service that use up the budget of another. */
    @Example
    void servicesHaveSeparateBudgets() {
        SlidingWindowRetryBudget budget = new SlidingWindowRetryBudget();
        for (int retry = 0; retry < EXTRA; retry++) {
            assertThat(budget.tryTakeRetry(SERVICE, LIMITS, Instant.EPOCH), Matchers.is(true));
        }
        assertThat(budget.tryTakeRetry(SERVICE, LIMITS, Instant.EPOCH), Matchers.is(false));
        Target other = new Target.ServiceTarget(new ServiceName("lookups"));
        assertThat(budget.tryTakeRetry(other, LIMITS, Instant.EPOCH), Matchers.is(true));
    }
}
