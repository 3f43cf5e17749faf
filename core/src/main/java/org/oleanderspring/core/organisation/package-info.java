/** The organisations on whose behalf callers send requests: their API keys, ranks and quotas. */
@NullMarked
package org.oleanderspring.core.organisation;

import org.jspecify.annotations.NullMarked;
