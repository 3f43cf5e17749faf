package org.oleanderspring.daemon.gateway.process.command;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.oleanderspring.core.routing.command.RoutingEvent;
import org.oleanderspring.daemon.gateway.placement.command.ResidencyInput;
import org.oleanderspring.daemon.gateway.routing.command.GatewayRoutingInput;

/**
 * A planned stop. First the daemon gives its leases back and says that it is not ready, while it
 * still takes requests of clients that do not know yet; then it refuses new requests, which have
 * not run, and waits for those in progress.
 */
final class GatewayStop {
    private static final Logger LOGGER = System.getLogger(GatewayStop.class.getName());

    /**
     * Between the last order and the release of the lease; another daemon counts on it, which
     * cannot tell a lease that was given back from one that lapsed.
     */
    static final Duration SAFETY_MARGIN = Duration.ofMillis(800);

    /** Clients keep a list of addresses for two seconds; most have asked again by then. */
    private static final Duration ACCEPTING = Duration.ofMillis(2_000);

    /** Left at the end, so that the process is gone before it would be killed. */
    private static final Duration MARGIN = Duration.ofMillis(700);

    /** So long before the end, requests that still wait for a runner are refused. */
    private static final Duration WAITING_MARGIN = Duration.ofMillis(900);

    private final GatewayRings mRings;
    private final Duration mLimit;

    GatewayStop(GatewayRings rings, Duration limit) {
        mRings = rings;
        mLimit = limit;
    }

    void run() {
        long end = System.nanoTime() + mLimit.minus(MARGIN).toNanos();
        LOGGER.log(Level.INFO, "[gateway] stop-began limit-ms=" + mLimit.toMillis());
        mRings.routing().offer(new GatewayRoutingInput.ShutdownBegan());
        mRings.placement().offer(new ResidencyInput.OrdersEnded());
        pause(SAFETY_MARGIN);
        CompletableFuture<Boolean> handedOver = new CompletableFuture<>();
        mRings.placement().offer(new ResidencyInput.StopAsked(handedOver));
        pause(ACCEPTING);
        mRings.routing().offer(new GatewayRoutingInput.Event(new RoutingEvent.DrainStarted()));
        CompletableFuture<Boolean> quiet = new CompletableFuture<>();
        mRings.routing().offer(new GatewayRoutingInput.IdleAwaited(quiet));
        boolean ended = await(quiet, end - WAITING_MARGIN.toNanos());
        if (!ended) {
            mRings.routing().offer(new GatewayRoutingInput.Event(new RoutingEvent.DrainEnding()));
            ended = await(quiet, end);
        }
        boolean released = await(handedOver, end);
        LOGGER.log(
                Level.INFO,
                "[gateway] stop-ended all-requests-ended="
                        + ended
                        + " leases-released="
                        + released);
    }

    private static void pause(Duration duration) {
        try {
            Thread.sleep(duration.toMillis());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean await(CompletableFuture<Boolean> done, long end) {
        try {
            long left = Math.max(0, end - System.nanoTime());
            return done.get(left, TimeUnit.NANOSECONDS);
        } catch (TimeoutException late) {
            return false;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        } catch (ExecutionException failed) {
            LOGGER.log(Level.WARNING, "[gateway] A duty failed during the stop.", failed);
            return false;
        }
    }
}
