package org.oleanderspring.core.residency.query;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.FailureDomain;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.residency.Residency;
import org.oleanderspring.core.runner.CachedWeights;
import org.oleanderspring.core.runner.LoadedModel;
import org.oleanderspring.core.runner.RunnerRegistration;

class ResidencyViewTest {
    private static final EndpointId RUNNER = new EndpointId("r1@5");
    private static final Instant START = Instant.EPOCH;

    private final ResidencyView mView = new ResidencyView();

    private static List<LoadedModel> models(String... names) {
        return Arrays.stream(names)
                .map(name -> new LoadedModel(new ModelName(name), Set.of()))
                .toList();
    }

    private void entry(Instant now, String... names) {
        mView.applyRegistrations(
                List.of(
                        new RunnerRegistration(
                                RUNNER,
                                "r1",
                                new ServiceName("assistant"),
                                new Address("10.0.0.1", 80),
                                new FailureDomain("east"),
                                4,
                                false,
                                null,
                                models(names),
                                CachedWeights.NONE)),
                now);
    }

    private boolean statement(
            Instant now, long token, long number, String closing, String... names) {
        Set<ModelName> closingModels =
                closing.isEmpty() ? Set.of() : Set.of(new ModelName(closing));
        return mView.applyStatement(
                new Residency(
                        RUNNER, new FencingToken(token), number, 3, models(names), closingModels),
                now);
    }

    /** Guards against routing calls to a model that the runner is about to unload. */
    @Test
    void closingModelGetsNoCalls() {
        entry(START, "a", "b");
        statement(START.plusMillis(100), 7, 1, "b", "a", "b");
        assertThat(mView.routableModels(RUNNER, START.plusMillis(200)), is(models("a")));
    }

    /**
     * Guards against a model that never becomes routable again because its placement holder failed
     * before the unload.
     */
    @Test
    void modelThatWasNotUnloadedBecomesRoutableAgain() {
        entry(START, "a", "b");
        statement(START, 7, 1, "b", "a", "b");
        assertThat(mView.routableModels(RUNNER, START.plusSeconds(5)), is(models("a", "b")));
    }

    /**
     * Guards against a registry entry from before a change that overrides the statement of the
     * change.
     */
    @Test
    void entryWrittenBeforeTheStatementIsIgnored() {
        entry(START, "a");
        statement(START.plusMillis(100), 7, 1, "", "a", "b");
        entry(START.plusMillis(900), "a", "c");
        assertThat(mView.routableModels(RUNNER, START.plusSeconds(1)), is(models("a", "b")));
    }

    /**
     * Guards against an old statement that overrides a much later registry entry of the runner
     * itself.
     */
    @Test
    void entryThatChangesMuchLaterIsUsed() {
        entry(START, "a");
        statement(START.plusMillis(100), 7, 1, "", "a", "b");
        entry(START.plusSeconds(9), "c");
        assertThat(mView.routableModels(RUNNER, START.plusSeconds(9)), is(models("c")));
    }

    /**
     * Guards against a late statement of a previous holder that overrides a statement of its
     * successor.
     */
    @Test
    void statementOfAnEarlierTenureIsIgnored() {
        entry(START, "a");
        assertThat(statement(START, 9, 1, "", "b"), is(true));
        assertThat(statement(START, 7, 50, "", "c"), is(false));
        assertThat(statement(START, 9, 1, "", "d"), is(false));
        assertThat(mView.routableModels(RUNNER, START), is(models("b")));
    }
}
