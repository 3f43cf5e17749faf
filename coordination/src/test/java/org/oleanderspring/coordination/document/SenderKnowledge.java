package org.oleanderspring.coordination.document;

import java.time.Instant;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * What the oracle knows of the sender of a message when it is sent.
 *
 * @param knownAt the true time up to which the sender can know what the service accepted
 * @param heard the true times of the last replies of members that the sender can know of
 */
record SenderKnowledge(@Nullable Instant knownAt, Map<Integer, Instant> heard) {
    SenderKnowledge {
        heard = Map.copyOf(heard);
    }
}
