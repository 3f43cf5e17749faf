package org.oleanderspring.core.routing.command;

import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.organisation.TokenCount;

/**
 * What a call needs of an endpoint.
 *
 * @param urgent whether the endpoint begins to run the call before others that wait there
 * @param tokens the tokens of the call, or null if it does not name them
 */
record CallNeed(boolean urgent, @Nullable TokenCount tokens) {}
