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
 * The steps of a planned stop. First the daemon releases its leases and reports that it is not
 * ready, but still accepts requests from clients with an outdated list of addresses, unless they
 * would probably not end in time. Then it refuses new requests, of which nothing has run, and waits
 * for the requests in progress.
 */
final class GatewayStop {
    private static final Logger LOGGER = System.getLogger(GatewayStop.class.getName());

    /**
     * The time between the last order and the release of all leases. The key of a released lease is
     * removed like that of an expired one. Without a handover, the next holder therefore assumes
     * that the last order was sent at least this long before the key was removed.
     */
    static final Duration SAFETY_MARGIN = Duration.ofMillis(800);

    /** Clients cache a list of addresses for 2 s, so most have read a new one by then. */
    private static final Duration ACCEPTING_PERIOD = Duration.ofMillis(2_000);

    /** Reserved at the end of the limit, so that the process exits before it is killed. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(700);

    /**
     * Requests that still wait for a runner are refused this long before the exit margin begins.
     */
    private static final Duration REFUSAL_MARGIN = Duration.ofMillis(900);

    private final GatewayRings mRings;
    private final Duration mLimit;

    GatewayStop(GatewayRings rings, Duration limit) {
        mRings = rings;
        mLimit = limit;
    }

    void run() {
        long end = System.nanoTime() + mLimit.minus(EXIT_MARGIN).toNanos();
        LOGGER.log(Level.INFO, "[gateway] stop-began limit-ms=" + mLimit.toMillis());
        mRings.routingSink()
                .offer(new GatewayRoutingInput.ShutdownBegan(mLimit.minus(EXIT_MARGIN)));
        mRings.placementSink().offer(new ResidencyInput.OrdersEnded());
        pause(SAFETY_MARGIN);
        CompletableFuture<Boolean> leasesReleased = new CompletableFuture<>();
        mRings.placementSink().offer(new ResidencyInput.StopRequested(leasesReleased));
        pause(ACCEPTING_PERIOD);
        mRings.routingSink().offer(new GatewayRoutingInput.Event(new RoutingEvent.DrainStarted()));
        CompletableFuture<Boolean> idle = new CompletableFuture<>();
        mRings.routingSink().offer(new GatewayRoutingInput.IdleAwaited(idle));
        boolean allEnded = await(idle, end - REFUSAL_MARGIN.toNanos());
        if (!allEnded) {
            mRings.routingSink()
                    .offer(new GatewayRoutingInput.Event(new RoutingEvent.ShutdownEnding()));
            allEnded = await(idle, end);
        }
        boolean allReleased = await(leasesReleased, end);
        LOGGER.log(
                Level.INFO,
                "[gateway] stop-ended all-requests-ended="
                        + allEnded
                        + " leases-released="
                        + allReleased);
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
            long remaining = Math.max(0, end - System.nanoTime());
            return done.get(remaining, TimeUnit.NANOSECONDS);
        } catch (TimeoutException timeout) {
            return false;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return false;
        } catch (ExecutionException failed) {
            LOGGER.log(Level.WARNING, "[gateway] A duty failed during the planned stop.", failed);
            return false;
        }
    }
}
