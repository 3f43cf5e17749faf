package org.oleanderspring.standin.keyvalue;

import org.jspecify.annotations.Nullable;

/**
 * A write or removal of one key.
 *
 * @param key the key
 * @param entry the new entry, or null if the key was removed
 * @param revision the revision of the change
 */
public record KeyChange(String key, @Nullable KeyValueEntry entry, long revision) {}
