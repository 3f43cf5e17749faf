package org.oleanderspring.standin.keyvalue;

/** The rate limit that applies to a call. */
public enum CallKind {
    /** Limited by {@link KeyValueOptions#readsPerSecond()}. */
    READ,
    /** Limited by {@link KeyValueOptions#writesPerSecond()}. */
    WRITE
}
