package org.oleanderspring.daemon.gateway;

import java.time.Duration;
import java.util.Objects;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.fleet.FailureDomain;

/**
 * The settings of a daemon on a hosted platform.
 *
 * @param self this daemon
 * @param failureDomain where it runs
 * @param readiness where the platform asks whether it is ready
 * @param directory where clients ask for addresses
 * @param metrics where metrics are served
 * @param peerPort the port for other daemons, the same on all VMs
 * @param store where the platform's metadata store listens
 * @param directoryTtl how long clients may keep a list of addresses
 * @param retryPercent how many retries there may be for each hundred requests
 * @param extraRetries how many retries a window may hold beyond that, over all daemons
 * @param retryWindow the length of that window
 * @param stopLimit how long a planned stop may take
 * @param holderPause how long a new holder of the placement waits for the one before
 * @param storeLoadsAtOnce so many loads the weight store serves at once at full speed
 */
public record GatewaySettings(
        GatewayMember self,
        FailureDomain failureDomain,
        Address readiness,
        Address directory,
        Address metrics,
        int peerPort,
        Address store,
        Duration directoryTtl,
        int retryPercent,
        int extraRetries,
        Duration retryWindow,
        Duration stopLimit,
        Duration holderPause,
        int storeLoadsAtOnce) {
    /** Checks for missing parts. */
    public GatewaySettings {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(readiness, "readiness");
        Objects.requireNonNull(directory, "directory");
        Objects.requireNonNull(metrics, "metrics");
        Objects.requireNonNull(store, "store");
        Objects.requireNonNull(directoryTtl, "directoryTtl");
        Objects.requireNonNull(retryWindow, "retryWindow");
        Objects.requireNonNull(stopLimit, "stopLimit");
        Objects.requireNonNull(holderPause, "holderPause");
    }
}
