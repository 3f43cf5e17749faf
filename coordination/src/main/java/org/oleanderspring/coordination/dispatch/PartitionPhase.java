package org.oleanderspring.coordination.dispatch;

/** What an owner does with a partition. */
public enum PartitionPhase {
    /** The active value is being read. */
    READING,
    /** The owner term is being raised. */
    TAKING_OVER,
    /** The sealed values are being read. */
    LOADING,
    /** Claims are answered. */
    READY,
    /** The stored values cannot be trusted; claims are refused. */
    REFUSING
}
