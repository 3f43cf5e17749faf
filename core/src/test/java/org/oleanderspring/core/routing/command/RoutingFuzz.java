package org.oleanderspring.core.routing.command;

import java.util.SplittableRandom;
import java.util.function.Supplier;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import net.jqwik.api.state.Transformer;

/**
 * Guards against calls that are lost, ended twice, run twice, started on an endpoint that must not
 * receive them, or refused with a wrong work state (the statement to the caller whether the work of
 * the call ran). Events are late, repeated and reordered, time jumps, and the routing table and the
 * settings change. {@link FuzzOracle} performs the checks.
 */
class RoutingFuzz {
    private static final long GENERATOR_SEED = 11;
    private static final int ACTIONS = 120;

    @Property(tries = 1500, seed = "20261204")
    void everyCallEndsOnceWithTheCorrectWorkState(
            @ForAll("sessions") ActionChain<FuzzWorld> session) {
        session.run().finish();
    }

    @Provide
    Arbitrary<ActionChain<FuzzWorld>> sessions() {
        Supplier<FuzzWorld> leastLoaded =
                () -> new FuzzWorld(new LeastLoadedSelector(1), new RefuseByEstimatePolicy());
        Supplier<FuzzWorld> powerOfTwo =
                () ->
                        new FuzzWorld(
                                new PowerOfTwoSelector(
                                        new SplittableRandom(GENERATOR_SEED),
                                        new LeastLoadedSelector(1)),
                                new QueueUntilDeadlinePolicy());
        Supplier<FuzzWorld> affinity =
                () ->
                        new FuzzWorld(
                                new PrefixAffinitySelector(new LeastLoadedSelector(1)),
                                new RefuseWhenBusyPolicy());
        return Arbitraries.of(leastLoaded, powerOfTwo, affinity).flatMap(RoutingFuzz::chain);
    }

    private static ActionChainArbitrary<FuzzWorld> chain(Supplier<FuzzWorld> start) {
        Arbitrary<Integer> small = Arbitraries.integers().between(0, 50);
        Arbitrary<Integer> millis = Arbitraries.integers().between(0, 2500);
        Arbitrary<Integer> action = Arbitraries.integers().between(0, 7);
        Arbitrary<Boolean> rarely = Arbitraries.integers().between(0, 7).map(i -> i == 0);
        return ActionChain.startWith(start)
                .withAction(
                        12, two("arrive", small, millis, (w, i, m) -> w.arrive(i, i / 3, m, i % 2)))
                .withAction(6, two("claim", small, rarely, FuzzWorld::completeClaim))
                .withAction(14, two("act", small, action, FuzzWorld::endpointAction))
                .withAction(18, two("deliver", small, rarely, FuzzWorld::deliverPending))
                .withAction(8, one("timer", millis.map(m -> m / 10), FuzzWorld::timer))
                .withAction(1, one("pause", small, FuzzWorld::advanceSeconds))
                .withAction(
                        2, one("disconnect", small.map(i -> i / 5), FuzzWorld::disconnectCaller))
                .withAction(2, one("table", small.map(Long::valueOf), FuzzWorld::table))
                .withAction(1, two("draining", small, small, FuzzWorld::draining))
                .withAction(1, one("authority", rarely.map(r -> !r), FuzzWorld::authority))
                .withAction(2, two("estimate and load", small, millis, FuzzWorld::estimateAndLoad))
                .withAction(
                        1, two("limits", small, small, (w, i, j) -> w.limits(i % 9, 1 + j % 4, i)))
                .withMaxTransformations(ACTIONS);
    }

    private interface OneArgument<A> {
        void apply(FuzzWorld world, A first);
    }

    private interface TwoArguments<A, B> {
        void apply(FuzzWorld world, A first, B second);
    }

    private static <A> Action.Independent<FuzzWorld> one(
            String name, Arbitrary<A> first, OneArgument<A> effect) {
        return () -> first.map(a -> Transformer.mutate(name + " " + a, w -> effect.apply(w, a)));
    }

    private static <A, B> Action.Independent<FuzzWorld> two(
            String name, Arbitrary<A> first, Arbitrary<B> second, TwoArguments<A, B> effect) {
        return () ->
                Combinators.combine(first, second)
                        .as(
                                (a, b) ->
                                        Transformer.mutate(
                                                name + " " + a + " " + b,
                                                w -> effect.apply(w, a, b)));
    }
}
