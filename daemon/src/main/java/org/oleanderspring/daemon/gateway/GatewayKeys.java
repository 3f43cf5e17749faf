package org.oleanderspring.daemon.gateway;

import org.oleanderspring.coordination.lease.LeaseName;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.StoreKey;

/** The keys in the hosted platform's key-value service that the daemons use. */
public final class GatewayKeys {
    /** The configuration; written by operators only. */
    public static final StoreKey CONFIGURATION = new StoreKey("/op/config");

    /** The prefix of the runners' registry entries; each is written by its runner only. */
    public static final StoreKey RUNNERS = new StoreKey("/servers/");

    /** The prefix of the keys that the daemons write. */
    public static final StoreKey DAEMONS = new StoreKey("/oleanderspring/");

    /** The common beginning of {@link #CONFIGURATION} and {@link #DAEMONS}. */
    public static final StoreKey CONFIGURATION_AND_DAEMONS = new StoreKey("/o");

    /** The prefix of the daemons' leases. */
    public static final StoreKey LEASES = new StoreKey(DAEMONS.path() + "leases/");

    /** The entries of the quarantine. */
    public static final StoreKey QUARANTINE = new StoreKey(DAEMONS.path() + "quarantine");

    /** The lease whose holder is the only daemon that sends orders to runners. */
    public static final LeaseName PLACEMENT = new LeaseName("placement");

    private static final String MEMBER_PREFIX = "member/";

    private GatewayKeys() {}

    /**
     * Returns the key under which a lease is stored.
     *
     * @param name the lease
     */
    public static StoreKey leaseKey(LeaseName name) {
        return new StoreKey(LEASES.path() + name.value());
    }

    /**
     * Returns the membership lease of a daemon, which it holds while it accepts requests.
     *
     * @param member the daemon
     */
    public static LeaseName membership(MemberId member) {
        return new LeaseName(MEMBER_PREFIX + member.value());
    }

    /**
     * Returns whether a key is that of a membership lease.
     *
     * @param key the key
     */
    public static boolean isMembership(StoreKey key) {
        return key.path().startsWith(LEASES.path() + MEMBER_PREFIX);
    }
}
