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

/** Fuzzes the documents of several members against the oracle of {@link DocumentWorld}. */
class DocumentFuzz {
    private static final Duration FRESHNESS_BOUND = DocumentWorld.OPTIONS.freshnessBound();
    private static final int MEMBERS = 5;
    private static final int DOMAINS = 3;

    /**
     * Guards against a document that goes back, content in force that was never accepted, authority
     * without a reason, a wrong message to an operator, and members that stay apart after the
     * faults have ended.
     */
    @Property(seed = "20261204", tries = 400)
    void documentsNeverGoBack(@ForAll("sessions") ActionChain<DocumentWorld> session) {
        DocumentWorld world = session.run();
        world.removeFaults();
        VersionedDocument newest = world.newest(DocumentWorld.SETTINGS);
        world.advance(FRESHNESS_BOUND);
        checkConvergence(world, newest);
        world.propose(0, DocumentWorld.SETTINGS);
        world.advance(FRESHNESS_BOUND);
        world.checkSettledChanges();
        assertThat(world.newest(DocumentWorld.SETTINGS), notNullValue());
        checkConvergence(world, world.newest(DocumentWorld.SETTINGS));
    }

    private static void checkConvergence(DocumentWorld world, VersionedDocument atLeast) {
        for (DocumentName name : new DocumentName[] {DocumentWorld.SETTINGS, DocumentWorld.PLAN}) {
            VersionedDocument newest = world.newest(name);
            for (DocumentNode node : world.nodes()) {
                assertThat(
                        "in force at " + node.index(),
                        node.decider().currentVersion(name).orElse(null),
                        is(newest));
            }
            assertThat("in the service", world.service().find(name).document(), is(newest));
        }
        VersionedDocument newest = world.newest(DocumentWorld.SETTINGS);
        if (newest == null) {
            return;
        }
        if (atLeast != null) {
            assertThat("lost a version", atLeast.isNewerThan(newest), is(false));
        }
        for (DocumentNode node : world.nodes()) {
            assertThat("authority of " + node.index(), node.claimsAuthority(), is(true));
        }
    }

    /**
     * Guards against an outage of the service alone that stops a large group, whose members cannot
     * hear from a majority themselves, and against a burst of reads when the service comes back.
     */
    @Example
    void readsAfterAnOutageAreSpread() {
        DocumentWorld world = new DocumentWorld(170, 6, 17);
        world.setFaultPercent(0);
        world.advance(Duration.ofSeconds(10));
        world.propose(0, DocumentWorld.SETTINGS);
        world.advance(Duration.ofSeconds(20));
        world.setServiceUp(false);
        world.advance(Duration.ofSeconds(60));
        for (DocumentNode node : world.nodes()) {
            assertThat("authority in the outage", node.claimsAuthority(), is(true));
        }
        world.takeReadsInBusiestSecond();
        world.setServiceUp(true);
        world.advance(Duration.ofSeconds(60));
        // 1,700 members have 2,000 reads a second in all; a tenth of that for 170 members is 20.
        assertThat(world.takeReadsInBusiestSecond(), lessThanOrEqualTo(20));
        checkConvergence(world, world.newest(DocumentWorld.SETTINGS));
    }

    @Provide
    Arbitrary<ActionChain<DocumentWorld>> sessions() {
        return ActionChain.startWith(() -> new DocumentWorld(MEMBERS, DOMAINS, 1))
                .withAction(12, new Advance())
                .withAction(4, new Propose())
                .withAction(6, new Fault())
                .withAction(1, new Repair())
                .withMaxTransformations(60);
    }

    private static Arbitrary<Integer> member() {
        return Arbitraries.integers().between(0, MEMBERS - 1);
    }

    private static final class Advance implements Action.Independent<DocumentWorld> {
        @Override
        public Arbitrary<Transformer<DocumentWorld>> transformer() {
            return Combinators.combine(
                            Arbitraries.integers().between(1, 9_000), Arbitraries.longs())
                    .as(
                            (millis, seed) ->
                                    Transformer.mutate(
                                            "advance " + millis + " ms, seed " + seed,
                                            world -> {
                                                world.reseed(seed);
                                                world.advance(Duration.ofMillis(millis));
                                            }));
        }
    }

    private static final class Propose implements Action.Independent<DocumentWorld> {
        @Override
        public Arbitrary<Transformer<DocumentWorld>> transformer() {
            Arbitrary<DocumentName> names =
                    Arbitraries.of(DocumentWorld.SETTINGS, DocumentWorld.PLAN);
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
                                            world -> {
                                                world.propose(first, name);
                                                world.propose(second, name);
                                            }));
        }
    }

    private static final class Fault implements Action.Independent<DocumentWorld> {
        @Override
        public Arbitrary<Transformer<DocumentWorld>> transformer() {
            return Arbitraries.oneOf(
                    Arbitraries.just(
                            Transformer.mutate("service down", w -> w.setServiceUp(false))),
                    Arbitraries.just(Transformer.mutate("service up", w -> w.setServiceUp(true))),
                    Arbitraries.integers()
                            .between(1, 6)
                            .map(
                                    writes ->
                                            Transformer.mutate(
                                                    "service loses " + writes + " writes",
                                                    w ->
                                                            w.restoreService(
                                                                    writes, writes % 2 == 0))),
                    member().map(m -> Transformer.mutate("pause " + m, w -> w.node(m).pause())),
                    member().map(m -> Transformer.mutate("resume " + m, w -> w.node(m).resume())),
                    member().map(m -> Transformer.mutate("isolate " + m, w -> w.isolate(m))),
                    member().map(m -> Transformer.mutate("restart " + m, w -> w.restart(m))),
                    member().map(m -> Transformer.mutate("hide at " + m, w -> w.hideMembers(m))),
                    member().map(
                                    m ->
                                            Transformer.mutate(
                                                    "cut " + m + " from the service",
                                                    w -> w.cutFromService(m))));
        }
    }

    private static final class Repair implements Action.Independent<DocumentWorld> {
        @Override
        public Arbitrary<Transformer<DocumentWorld>> transformer() {
            return Arbitraries.just(
                    Transformer.mutate(
                            "repair",
                            world -> {
                                world.removeFaults();
                                world.setFaultPercent(15);
                            }));
        }
    }
}
