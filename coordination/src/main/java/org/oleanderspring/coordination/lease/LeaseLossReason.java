package org.oleanderspring.coordination.lease;

/** Why a lease is no longer held. */
public enum LeaseLossReason {
    /** The time to live, less the safety margin, passed without a renewal. */
    EXPIRED,
    /** The key-value service no longer has the service lease: it expired or was revoked there. */
    LAPSED,
    /** The daemon released the lease. */
    RELEASED
}
