package org.oleanderspring.core.organisation.query;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.organisation.ApiKeyDigest;
import org.oleanderspring.core.organisation.Organisation;
import org.oleanderspring.core.organisation.OrganisationName;
import org.oleanderspring.core.organisation.Quota;

/**
 * The organisations of one configuration by the digests of their keys. Immutable, so that it can be
 * built by the thread that reads the configuration and used by another one.
 */
public final class OrganisationDirectory {
    /** The directory of a configuration without organisations, whose callers need no key. */
    public static final OrganisationDirectory EMPTY = new OrganisationDirectory(List.of());

    private static final float LOAD_FACTOR = 0.75f;

    private final Map<ApiKeyDigest, Organisation> mByKey;
    private final boolean mEmpty;

    /** The organisations, those with the largest quotas first. */
    private final List<OrganisationName> mBySize;

    /**
     * Creates a directory. A key that several organisations name belongs to none of them.
     *
     * @param organisations the organisations
     */
    public OrganisationDirectory(List<Organisation> organisations) {
        int keys = organisations.stream().mapToInt(next -> next.keys().size()).sum();
        mByKey = new HashMap<>((int) (keys / LOAD_FACTOR) + 1);
        Set<ApiKeyDigest> shared = new HashSet<>();
        for (Organisation organisation : organisations) {
            for (ApiKeyDigest key : organisation.keys()) {
                if (mByKey.put(key, organisation) != null) {
                    shared.add(key);
                }
            }
        }
        mByKey.keySet().removeAll(shared);
        mEmpty = organisations.isEmpty();
        mBySize =
                organisations.stream()
                        .sorted(Comparator.comparingDouble(OrganisationDirectory::rate).reversed())
                        .map(Organisation::name)
                        .toList();
    }

    private static double rate(Organisation organisation) {
        Quota quota = organisation.quota();
        return quota == null ? Double.POSITIVE_INFINITY : quota.ratePerSecond();
    }

    /**
     * Returns the organisations with the largest quotas.
     *
     * @param count how many at most
     */
    public List<OrganisationName> largest(int count) {
        return mBySize.subList(0, Math.min(count, mBySize.size()));
    }

    /** Returns whether there are no organisations, so that callers need no key. */
    public boolean isEmpty() {
        return mEmpty;
    }

    /**
     * Returns the organisation that holds a key, or null if none does.
     *
     * @param key the digest of the key
     */
    public @Nullable Organisation find(ApiKeyDigest key) {
        return mByKey.get(key);
    }
}
