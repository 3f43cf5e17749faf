package org.oleanderspring.coordination.store.command;

import org.jspecify.annotations.Nullable;

/**
 * Decides whether a value takes effect that is listed by a key-value service that has come back
 * from a copy. The value may be some seconds older than the one known before.
 *
 * @param <V> the type of the decoded values
 */
@FunctionalInterface
public interface RestoredValuePolicy<V> {
    /**
     * Returns whether the value takes effect before its writer has written it again.
     *
     * @param known the value known before, or null if its key was unknown or removed
     * @param restored the listed value
     */
    boolean takesEffect(@Nullable V known, V restored);
}
