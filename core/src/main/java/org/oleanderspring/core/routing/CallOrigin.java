package org.oleanderspring.core.routing;

import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.organisation.OrganisationName;
import org.oleanderspring.core.organisation.TokenCount;

/**
 * Who sent a call and how much it asks for.
 *
 * @param organisation the organisation of the caller, or null if it is not known
 * @param tokens the tokens of the call, or null if the caller does not name them
 */
public record CallOrigin(@Nullable OrganisationName organisation, @Nullable TokenCount tokens) {
    /** The origin of a call that names neither. */
    public static final CallOrigin UNKNOWN = new CallOrigin(null, null);
}
