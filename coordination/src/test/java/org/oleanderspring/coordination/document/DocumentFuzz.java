package org.oleanderspring.coordination.document;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.notNullValue;

import java.time.Duration;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/**
 * Property tests of the documents of several members under faults, checked by {@link
 * SimulatedDocuments}.
 */
class DocumentFuzz {
    private static final Duration FRESHNESS_BOUND = SimulatedDocuments.OPTIONS.freshnessBound();
    private static final int MEMBERS = 5;
    private static final int DOMAINS = 3;

    /**
     * Guards against a version that decreases at a member, a current version that was never
     * accepted, authority without a recent reply, a wrong result reported to an operator, and
     * members that do not converge after the faults have ended.
     */
    @Property(seed = "20261204", tries = 400)
    void versionsNeverDecreaseAndConverge(
            @ForAll("sessions") ActionChain<SimulatedDocuments> session) {
        SimulatedDocuments simulation = session.run();
        simulation.removeFaults();
        VersionedDocument newest = simulation.newest(SimulatedDocuments.SETTINGS);
        simulation.advance(FRESHNESS_BOUND);
        checkConvergence(simulation, newest);
        simulation.propose(0, SimulatedDocuments.SETTINGS);
        simulation.advance(FRESHNESS_BOUND);
        simulation.checkSettledChanges();
        assertThat(simulation.newest(SimulatedDocuments.SETTINGS), notNullValue());
        checkConvergence(simulation, simulation.newest(SimulatedDocuments.SETTINGS));
    }

    private static void checkConvergence(SimulatedDocuments simulation, VersionedDocument atLeast) {
        for (DocumentName name :
                new DocumentName[] {SimulatedDocuments.SETTINGS, SimulatedDocuments.PLAN}) {
            VersionedDocument newest = simulation.newest(name);
            for (DocumentNode node : simulation.nodes()) {
                assertThat(
                        "current version at member " + node.index(),
                        node.decider().currentVersion(name).orElse(null),
                        is(newest));
            }
            assertThat(
                    "version at the service",
                    simulation.service().find(name).document(),
                    is(newest));
        }
        VersionedDocument newest = simulation.newest(SimulatedDocuments.SETTINGS);
        if (newest == null) {
            return;
        }
        if (atLeast != null) {
            assertThat("a newer version was lost", atLeast.isNewerThan(newest), is(false));
        }
        for (DocumentNode node : simulation.nodes()) {
            assertThat("authority of member " + node.index(), node.hasAuthority(), is(true));
        }
    }

    /**
     * Guards against a loss of authority in a large group, whose members cannot receive replies
     * from a majority themselves, when only the key-value service fails, and against a burst of
     * reads when the service recovers.
     */
    @Example
    void readsAfterAnOutageAreSpread() {
        SimulatedDocuments simulation = new SimulatedDocuments(170, 6, 17);
        simulation.setFaultPercent(0);
        simulation.advance(Duration.ofSeconds(10));
        simulation.propose(0, SimulatedDocuments.SETTINGS);
        simulation.advance(Duration.ofSeconds(20));
        simulation.setServiceUp(false);
        simulation.advance(Duration.ofSeconds(60));
        for (DocumentNode node : simulation.nodes()) {
            assertThat(
                    "authority of member " + node.index() + " during the outage",
                    node.hasAuthority(),
                    is(true));
        }
        simulation.takeReadsInBusiestSecond();
        simulation.setServiceUp(true);
        simulation.advance(Duration.ofSeconds(60));
        // The share of 170 members in 2,000 reads a second of 1,700 members is 200; the bound is a
        // tenth of that.
        assertThat(simulation.takeReadsInBusiestSecond(), lessThanOrEqualTo(20));
        checkConvergence(simulation, simulation.newest(SimulatedDocuments.SETTINGS));
    }

    @Provide
    Arbitrary<ActionChain<SimulatedDocuments>> sessions() {
        return ActionChain.startWith(() -> new SimulatedDocuments(MEMBERS, DOMAINS, 1))
                .withAction(12, new Advance())
                .withAction(4, new Propose())
                .withAction(6, new Fault())
                .withAction(1, new Repair())
                .withMaxTransformations(60);
    }

    private static Arbitrary<Integer> member() {
        return Arbitraries.integers().between(0, MEMBERS - 1);
    }

    private static final class Advance implements Action.Independent<SimulatedDocuments> {
        @Override
        public Arbitrary<Transformer<SimulatedDocuments>> transformer() {
            return Combinators.combine(
                            Arbitraries.integers().between(1, 9_000), Arbitraries.longs())
                    .as(
                            (millis, seed) ->
                                    Transformer.mutate(
                                            "advance " + millis + " ms, seed " + seed,
                                            simulation -> {
                                                simulation.reseed(seed);
                                                simulation.advance(Duration.ofMillis(millis));
                                            }));
        }
    }

    private static final class Propose implements Action.Independent<SimulatedDocuments> {
        @Override
        public Arbitrary<Transformer<SimulatedDocuments>> transformer() {
            Arbitrary<DocumentName> names =
                    Arbitraries.of(SimulatedDocuments.SETTINGS, SimulatedDocuments.PLAN);
            return Combinators.combine(member(), member(), names)
                    .as(
                            (first, second, name) ->
                                    Transformer.mutate(
                                            "operators at "
                                                    + first
                                                    + " and "
                                                    + second
                                                    + " change "
                                                    + name,
                                            simulation -> {
                                                simulation.propose(first, name);
                                                simulation.propose(second, name);
                                            }));
        }
    }

    private static final class Fault implements Action.Independent<SimulatedDocuments> {
        @Override
        public Arbitrary<Transformer<SimulatedDocuments>> transformer() {
            return Arbitraries.oneOf(
                    Arbitraries.just(
                            Transformer.mutate(
                                    "service down", simulation -> simulation.setServiceUp(false))),
                    Arbitraries.just(
                            Transformer.mutate(
                                    "service up", simulation -> simulation.setServiceUp(true))),
                    Arbitraries.integers()
                            .between(1, 6)
                            .map(
                                    writes ->
                                            Transformer.mutate(
                                                    "service loses " + writes + " writes",
                                                    simulation ->
                                                            simulation.restoreService(
                                                                    writes, writes % 2 == 0))),
                    member().map(
                                    m ->
                                            Transformer.mutate(
                                                    "pause " + m,
                                                    simulation -> simulation.node(m).pause())),
                    member().map(
                                    m ->
                                            Transformer.mutate(
                                                    "resume " + m,
                                                    simulation -> simulation.node(m).resume())),
                    member().map(
                                    m ->
                                            Transformer.mutate(
                                                    "isolate " + m,
                                                    simulation -> simulation.isolate(m))),
                    member().map(
                                    m ->
                                            Transformer.mutate(
                                                    "restart " + m,
                                                    simulation -> simulation.restart(m))),
                    member().map(
                                    m ->
                                            Transformer.mutate(
                                                    "hide some members from " + m,
                                                    simulation -> simulation.hideMembers(m))),
                    member().map(
                                    m ->
                                            Transformer.mutate(
                                                    "cut " + m + " from the service",
                                                    simulation -> simulation.cutFromService(m))));
        }
    }

    private static final class Repair implements Action.Independent<SimulatedDocuments> {
        @Override
        public Arbitrary<Transformer<SimulatedDocuments>> transformer() {
            return Arbitraries.just(
                    Transformer.mutate(
                            "repair",
                            simulation -> {
                                simulation.removeFaults();
                                simulation.setFaultPercent(15);
                            }));
        }
    }
}
