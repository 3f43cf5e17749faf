package org.oleanderspring.coordination.dispatch;

/** The phase of a partition at the daemon that should own it. */
public enum PartitionPhase {
    /** The active value is being read. */
    READING,
    /** The owner term is being increased. */
    TAKING_OVER,
    /** The sealed segments are being read. */
    LOADING,
    /** The partition is owned and claims are answered. */
    READY,
    /** The stored values are damaged or were lost; claims are refused. */
    REFUSING
}
