package org.oleanderspring.coordination.document;

import java.time.Instant;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The information that the sender of a message can have when it sends the message.
 *
 * @param knownAt the true time up to which the sender can have every version that the key-value
 *     service accepted; null if it received none
 * @param lastReplies the true times of the last replies of members, by member index, that the
 *     sender can know of
 */
record SenderKnowledge(@Nullable Instant knownAt, Map<Integer, Instant> lastReplies) {
    SenderKnowledge {
        lastReplies = Map.copyOf(lastReplies);
    }
}
