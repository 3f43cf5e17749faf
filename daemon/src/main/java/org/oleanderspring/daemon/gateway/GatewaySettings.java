package org.oleanderspring.daemon.gateway;

import java.time.Duration;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.fleet.FailureDomain;
import org.oleanderspring.core.share.ShareBounds;

/**
 * The process settings of a daemon on a hosted platform.
 *
 * @param self the id and the address of this daemon
 * @param failureDomain the failure domain of this daemon's VM
 * @param readiness the address of the readiness endpoint, which the platform polls
 * @param directory the address at which clients ask for the addresses of the daemons
 * @param metrics the address at which metrics are served
 * @param peerPort the port for messages between daemons, the same on all VMs
 * @param store the address of the platform's key-value service
 * @param storeReadsPerSecond the number of reads that it takes from all daemons in a second
 * @param settleLimit the longest time from the end of a disturbance of the key-value service or of
 *     connections until the daemon acts on current values again
 * @param drainLimit the time after which a runner that leaves must get no request
 * @param directoryTtl how long clients may cache a list of addresses
 * @param retryPercent the number of retries allowed for each hundred requests
 * @param extraRetries the number of further retries allowed in each window, over all daemons
 * @param retryWindow the length of that window
 * @param stopLimit the longest time that a planned stop may take
 * @param pauseBeforeOrders the least time between orders to one runner from two successive holders
 *     of the placement lease: the holder pause plus the slack for suspended daemons
 * @param storeLoadsAtOnce the number of concurrent loads that the weight store serves at full speed
 * @param quotaBounds how exactly the quotas of organisations have to be kept over all daemons
 * @param domainPrice the work that leaving the failure domain has to save, in calls at an endpoint;
 *     0 if calls go to all domains alike
 * @param revocationLimit the time after which no request with a key that was taken away may be
 *     accepted, also without contact to the key-value service; null if that is not required
 */
public record GatewaySettings(
        GatewayMember self,
        FailureDomain failureDomain,
        Address readiness,
        Address directory,
        Address metrics,
        int peerPort,
        Address store,
        int storeReadsPerSecond,
        Duration settleLimit,
        Duration drainLimit,
        Duration directoryTtl,
        int retryPercent,
        int extraRetries,
        Duration retryWindow,
        Duration stopLimit,
        Duration pauseBeforeOrders,
        int storeLoadsAtOnce,
        ShareBounds quotaBounds,
        double domainPrice,
        @Nullable Duration revocationLimit) {
    /**
     * Rejects null components, except for the last; the ranges of numbers and durations are not
     * checked here.
     */
    public GatewaySettings {
        Objects.requireNonNull(self, "self");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(readiness, "readiness");
        Objects.requireNonNull(directory, "directory");
        Objects.requireNonNull(metrics, "metrics");
        Objects.requireNonNull(store, "store");
        Objects.requireNonNull(settleLimit, "settleLimit");
        Objects.requireNonNull(drainLimit, "drainLimit");
        Objects.requireNonNull(directoryTtl, "directoryTtl");
        Objects.requireNonNull(retryWindow, "retryWindow");
        Objects.requireNonNull(stopLimit, "stopLimit");
        Objects.requireNonNull(pauseBeforeOrders, "pauseBeforeOrders");
        Objects.requireNonNull(quotaBounds, "quotaBounds");
    }
}
