package org.oleanderspring.core.fleet;

/** The state of a VM according to the platform. */
public enum VmState {
    /** The VM may receive work. */
    LIVE,
    /** The platform is about to remove the VM; it must not receive new work. */
    LEAVING
}
