package org.oleanderspring.coordination.lease;

/** Why a lease is no longer held. */
public enum LeaseLossReason {
    /** The time to live, less the safety margin, passed without a renewal. */
    EXPIRED,
    /** The key-value service no longer has the service lease: it expired or was revoked there. */
    LAPSED,
    /** The key-value service has come back from a copy, which may lack the lease. */
    RESTORED,
    /** The key was found written by another daemon. */
    SUPERSEDED,
    /** The daemon released the lease. */
    RELEASED
}
