package org.oleanderspring.daemon.process.command;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.command.MembershipEvent;
import org.oleanderspring.core.routing.command.RoutingEvent;
import org.oleanderspring.core.settings.SettingName;
import org.oleanderspring.daemon.codec.SettingsDocument;
import org.oleanderspring.daemon.lease.command.LeaseInput;
import org.oleanderspring.daemon.membership.command.MembershipInput;
import org.oleanderspring.daemon.routing.command.RoutingInput;
import org.oleanderspring.daemon.wiring.command.Rings;
import org.oleanderspring.daemon.wiring.query.RingQueries;

/**
 * The steps of a planned stop.
 *
 * <p>The daemon leaves the directory first and goes on serving for as long as a caller may keep the
 * directory's answer. Only then does it refuse new calls, so no caller is turned away that followed
 * the rules. It waits for the running calls, hands its leases over and leaves.
 */
final class GracefulStop {
    private static final Logger LOGGER = System.getLogger(GracefulStop.class.getName());

    /** How long the news that this daemon drains takes to reach the other directories. */
    private static final Duration NEWS_MARGIN = Duration.ofSeconds(2);

    private static final Duration HAND_OVER_LIMIT = Duration.ofSeconds(3);
    private static final Duration LEAVE_NEWS = Duration.ofMillis(300);
    private static final Duration QUERY_LIMIT = Duration.ofSeconds(1);

    private final Rings mRings;
    private final RingQueries mQueries;
    private final Duration mLimit;

    /**
     * Creates the stop.
     *
     * @param rings the rings of the duties
     * @param queries reads the settings
     * @param limit how long to wait for running calls
     */
    GracefulStop(Rings rings, RingQueries queries, Duration limit) {
        mRings = rings;
        mQueries = queries;
        mLimit = limit;
    }

    void run() {
        LOGGER.log(Level.INFO, "[daemon] Stopping: leaving the entry directory.");
        mRings.membership().offer(new MembershipInput.Event(new MembershipEvent.DrainRequested()));
        pause(directoryKeep().plus(NEWS_MARGIN));
        LOGGER.log(Level.INFO, "[daemon] Stopping: waiting for running calls.");
        mRings.routing().offer(new RoutingInput.Event(new RoutingEvent.DrainStarted()));
        CompletableFuture<Boolean> quiet = new CompletableFuture<>();
        mRings.routing().offer(new RoutingInput.IdleAwaited(quiet));
        if (await(quiet, mLimit) == null) {
            LOGGER.log(Level.WARNING, "[daemon] Calls still run at the stop limit and are cut.");
        }
        CompletableFuture<Boolean> handedOver = new CompletableFuture<>();
        mRings.lease().offer(new LeaseInput.StopRequested(handedOver));
        if (await(handedOver, HAND_OVER_LIMIT) == null) {
            LOGGER.log(Level.WARNING, "[daemon] Leases were not handed over; they will lapse.");
        }
        mRings.membership().offer(new MembershipInput.Event(new MembershipEvent.LeaveRequested()));
        pause(LEAVE_NEWS);
    }

    private Duration directoryKeep() {
        SettingsDocument settings = await(mQueries.inForce(), QUERY_LIMIT);
        long seconds =
                settings == null
                        ? SettingName.DIRECTORY_KEEP.defaultValue()
                        : settings.settings().value(SettingName.DIRECTORY_KEEP);
        return Duration.ofSeconds(seconds);
    }

    private static void pause(Duration duration) {
        try {
            Thread.sleep(duration.toMillis());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static <T> @Nullable T await(CompletableFuture<T> future, Duration limit) {
        try {
            return future.get(limit.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException unavailable) {
            return null;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return null;
        }
    }
}
