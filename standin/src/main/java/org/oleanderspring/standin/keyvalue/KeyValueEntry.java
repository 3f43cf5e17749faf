package org.oleanderspring.standin.keyvalue;

/**
 * A key with its value.
 *
 * @param key the key; each character stands for one byte, so that keys sort by their bytes
 * @param value the value in base64, as it was received
 * @param createRevision the revision that created the key
 * @param modRevision the revision that last wrote the key
 * @param version the number of writes since the key was created
 * @param lease the lease that the key is bound to, or 0
 */
public record KeyValueEntry(
        String key,
        String value,
        long createRevision,
        long modRevision,
        long version,
        long lease) {}
