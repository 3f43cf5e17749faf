package org.oleanderspring.core.organisation;

import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * An organisation as the operators configure it.
 *
 * @param name its name
 * @param keys the digests of its API keys
 * @param priority the priority class of its requests, which takes precedence over that of the
 *     route; 0 is the most urgent; null if it has none
 * @param quota how much it may ask for, or null if that is not limited
 */
public record Organisation(
        OrganisationName name,
        Set<ApiKeyDigest> keys,
        @Nullable Integer priority,
        @Nullable Quota quota) {
    /** Copies the keys; rejects a null name. */
    public Organisation {
        Objects.requireNonNull(name, "name");
        keys = Set.copyOf(keys);
    }
}
