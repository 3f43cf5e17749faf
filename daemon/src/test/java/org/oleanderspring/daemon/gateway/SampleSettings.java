package org.oleanderspring.daemon.gateway;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.fleet.FailureDomain;
import org.oleanderspring.core.share.ShareBounds;

/** Settings of daemons in tests. */
public final class SampleSettings {
    private SampleSettings() {}

    /**
     * Returns the settings of a daemon that uses one address for everything.
     *
     * @param address the address of the daemon
     * @param store the address of the key-value service
     * @param pauseBeforeOrders the least time between orders of two successive holders
     */
    public static GatewaySettings at(Address address, Address store, Duration pauseBeforeOrders) {
        return at(address, store, pauseBeforeOrders, null);
    }

    /**
     * Returns the settings of a daemon that uses one address for everything.
     *
     * @param address the address of the daemon
     * @param store the address of the key-value service
     * @param pauseBeforeOrders the least time between orders of two successive holders
     * @param revocationLimit how long a key may be accepted after it was taken away, or null
     */
    public static GatewaySettings at(
            Address address,
            Address store,
            Duration pauseBeforeOrders,
            @Nullable Duration revocationLimit) {
        GatewaySettings settings =
                at("vm-1", address, address, address, address, 81, store, pauseBeforeOrders);
        return new GatewaySettings(
                settings.self(),
                settings.failureDomain(),
                settings.readiness(),
                settings.directory(),
                settings.metrics(),
                settings.peerPort(),
                settings.store(),
                settings.storeReadsPerSecond(),
                settings.settleLimit(),
                settings.drainLimit(),
                settings.directoryTtl(),
                settings.retryPercent(),
                settings.extraRetries(),
                settings.retryWindow(),
                settings.stopLimit(),
                settings.pauseBeforeOrders(),
                settings.storeLoadsAtOnce(),
                settings.quotaBounds(),
                settings.domainPrice(),
                revocationLimit);
    }

    static GatewaySettings at(
            String name,
            Address front,
            Address readiness,
            Address directory,
            Address metrics,
            int peerPort,
            Address store,
            Duration pauseBeforeOrders) {
        return new GatewaySettings(
                GatewayMember.of(name, front),
                new FailureDomain("east"),
                readiness,
                directory,
                metrics,
                peerPort,
                store,
                2_000,
                Duration.ofSeconds(3),
                Duration.ofSeconds(2),
                Duration.ofSeconds(2),
                20,
                50,
                Duration.ofSeconds(10),
                Duration.ofSeconds(5),
                pauseBeforeOrders,
                2,
                ShareBounds.STRICT,
                0,
                null);
    }
}
