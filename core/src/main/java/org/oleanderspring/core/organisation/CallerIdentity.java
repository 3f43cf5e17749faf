package org.oleanderspring.core.organisation;

import java.util.Objects;

/** On whose behalf a caller sends a request. */
public sealed interface CallerIdentity {
    /** Callers are not told apart, because the configuration names no organisations. */
    record Unchecked() implements CallerIdentity {}

    /** The route needs no API key. */
    record Anonymous() implements CallerIdentity {}

    /**
     * The caller presented a key of an organisation.
     *
     * @param organisation its name
     */
    record Member(OrganisationName organisation) implements CallerIdentity {
        /** Rejects a null name. */
        public Member {
            Objects.requireNonNull(organisation, "organisation");
        }
    }
}
