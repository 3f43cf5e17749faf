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
 * Executes a planned stop step by step, blocking the calling thread.
 *
 * <p>The daemon first leaves the entry directory and continues to serve for as long as callers may
 * cache a directory response. Only then does it refuse new calls, so a caller that respects the
 * cache lifetime is never refused. Afterwards it waits for the running calls, releases its leases
 * and leaves the member list.
 */
final class GracefulStop {
    private static final Logger LOGGER = System.getLogger(GracefulStop.class.getName());

    /**
     * The time that the notice of this daemon's draining takes to reach the directories of all
     * daemons.
     */
    private static final Duration DRAIN_PROPAGATION_TIME = Duration.ofSeconds(2);

    /** The time to wait until the leases are released; later they are left to expire. */
    private static final Duration LEASE_RELEASE_LIMIT = Duration.ofSeconds(3);

    /** The time for the notice of leaving to be sent before the connections are closed. */
    private static final Duration LEAVE_PROPAGATION_TIME = Duration.ofMillis(300);

    /** The time to wait for the current settings; without them the default setting applies. */
    private static final Duration QUERY_LIMIT = Duration.ofSeconds(1);

    private final Rings mRings;
    private final RingQueries mQueries;
    private final Duration mLimit;

    /**
     * Creates a stop; {@link #run} executes it.
     *
     * @param rings the rings of the duties
     * @param queries reads the current settings
     * @param limit the maximum time to wait for running calls
     */
    GracefulStop(Rings rings, RingQueries queries, Duration limit) {
        mRings = rings;
        mQueries = queries;
        mLimit = limit;
    }

    void run() {
        LOGGER.log(
                Level.INFO, "[daemon] Stopping: leaving the entry directory; still serving calls.");
        mRings.membership().offer(new MembershipInput.Event(new MembershipEvent.DrainRequested()));
        pause(directoryTimeToLive().plus(DRAIN_PROPAGATION_TIME));
        LOGGER.log(
                Level.INFO, "[daemon] Stopping: refusing new calls and waiting for running ones.");
        mRings.routing().offer(new RoutingInput.Event(new RoutingEvent.DrainStarted()));
        CompletableFuture<Boolean> idle = new CompletableFuture<>();
        mRings.routing().offer(new RoutingInput.IdleAwaited(idle));
        if (await(idle, mLimit) == null) {
            LOGGER.log(
                    Level.WARNING,
                    "[daemon] Stopping: cutting off the calls that still run at the stop limit of"
                            + " {0}.",
                    mLimit);
        }
        CompletableFuture<Boolean> released = new CompletableFuture<>();
        mRings.lease().offer(new LeaseInput.StopRequested(released));
        if (await(released, LEASE_RELEASE_LIMIT) == null) {
            LOGGER.log(
                    Level.WARNING,
                    "[daemon] Stopping: leases were not released within {0} and will expire.",
                    LEASE_RELEASE_LIMIT);
        }
        mRings.membership().offer(new MembershipInput.Event(new MembershipEvent.LeaveRequested()));
        pause(LEAVE_PROPAGATION_TIME);
    }

    private Duration directoryTimeToLive() {
        SettingsDocument settings = await(mQueries.current(), QUERY_LIMIT);
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
