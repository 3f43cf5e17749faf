package org.oleanderspring.daemon.gateway;

import org.oleanderspring.coordination.lease.LeaseName;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.StoreKey;

/** The keys of the hosted platform's store that the daemons use. */
public final class GatewayKeys {
    /** The operators' configuration; written by them only. */
    public static final StoreKey CONFIGURATION = new StoreKey("/op/config");

    /** The entries of runners; written by them only. */
    public static final StoreKey RUNNERS = new StoreKey("/servers/");

    /** The leases of daemons. */
    public static final StoreKey LEASES = new StoreKey("/oleanderspring/leases/");

    /** The lease of the one daemon that gives orders to runners. */
    public static final LeaseName PLACEMENT = new LeaseName("placement");

    private static final String MEMBER_PREFIX = "member/";

    private GatewayKeys() {}

    /**
     * Returns the key of a lease.
     *
     * @param name the lease
     */
    public static StoreKey leaseKey(LeaseName name) {
        return new StoreKey(LEASES.path() + name.value());
    }

    /**
     * Returns the lease by which a daemon shows that it is there.
     *
     * @param member the daemon
     */
    public static LeaseName membership(MemberId member) {
        return new LeaseName(MEMBER_PREFIX + member.value());
    }

    /**
     * Returns whether a key shows that a daemon is there.
     *
     * @param key the key
     */
    public static boolean isMembership(StoreKey key) {
        return key.path().startsWith(LEASES.path() + MEMBER_PREFIX);
    }
}
