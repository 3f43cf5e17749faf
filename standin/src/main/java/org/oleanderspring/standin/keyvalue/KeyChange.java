package org.oleanderspring.standin.keyvalue;

import org.jspecify.annotations.Nullable;

/**
 * A change of one key.
 *
 * @param key the key
 * @param entry the new content, or null if the key was removed
 * @param revision the revision of the change
 */
public record KeyChange(String key, @Nullable KeyValueEntry entry, long revision) {}
