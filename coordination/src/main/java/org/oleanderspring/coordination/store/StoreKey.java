package org.oleanderspring.coordination.store;

import java.util.Objects;

/**
 * A key of the key-value service.
 *
 * @param path the key, starting with a slash
 */
public record StoreKey(String path) {
    /** Rejects a key that does not start with a slash. */
    public StoreKey {
        Objects.requireNonNull(path, "path");
        if (!path.startsWith("/")) {
            throw new IllegalArgumentException("store key does not start with a slash: " + path);
        }
    }

    @Override
    public String toString() {
        return path;
    }
}
