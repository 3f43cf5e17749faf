package org.oleanderspring.core.fleet;

/** What the platform says of a VM. */
public enum VmState {
    /** The VM may receive work. */
    LIVE,
    /** The VM will be taken away; it must receive no new work. */
    LEAVING
}
