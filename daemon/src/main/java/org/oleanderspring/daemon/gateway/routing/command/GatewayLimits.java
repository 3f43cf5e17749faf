package org.oleanderspring.daemon.gateway.routing.command;

import java.time.Duration;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.daemon.gateway.GatewaySettings;

/** The limits of one daemon's routing. */
final class GatewayLimits {
    /** Deadlines bound how long calls wait; this limit bounds the memory of waiting calls. */
    private static final int QUEUE_LIMIT = 512;

    /** Each route limits the attempts of a call; this limit applies to routes that allow more. */
    private static final int ATTEMPT_LIMIT = 8;

    /**
     * The minimum time between two load requests for the same target. The first one only makes the
     * load begin sooner, since the periodic report of the demand names all waiting calls too.
     */
    private static final Duration ACTIVATION_INTERVAL = Duration.ofSeconds(1);

    private GatewayLimits() {}

    /**
     * Returns the limits. The extra retries are shared by all daemons. Only half of them are used,
     * because a restarted daemon no longer knows how many retries it has made.
     *
     * @param settings the settings of the daemon
     * @param daemons the number of daemons
     */
    static RoutingLimits of(GatewaySettings settings, int daemons) {
        return new RoutingLimits(
                QUEUE_LIMIT,
                ATTEMPT_LIMIT,
                settings.retryPercent(),
                ACTIVATION_INTERVAL,
                settings.extraRetries() / (2 * Math.max(1, daemons)),
                settings.retryWindow());
    }
}
