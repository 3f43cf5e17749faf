package org.oleanderspring.standin.keyvalue;

/**
 * A key with its value and version data.
 *
 * @param key the key as ISO 8859-1 text: one character per byte, so that keys sort by their bytes
 * @param value the value in base64, as it was received
 * @param createRevision the store revision in which the key was created
 * @param modRevision the store revision in which the key was last written
 * @param version the number of writes since the key was created
 * @param lease the ID of the lease that the key is attached to, or 0
 */
public record KeyValueEntry(
        String key,
        String value,
        long createRevision,
        long modRevision,
        long version,
        long lease) {}
