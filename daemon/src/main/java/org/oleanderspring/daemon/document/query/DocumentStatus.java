package org.oleanderspring.daemon.document.query;

import java.time.Instant;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;

/**
 * Which settings are in force here and at other daemons.
 *
 * @param settingsNumber the number in force here; 0 before any were accepted
 * @param authorityEnd until when this daemon may decide by them, or null if it may not
 * @param numbersOfPeers the numbers that other daemons reported last, by peer address
 */
public record DocumentStatus(
        long settingsNumber, @Nullable Instant authorityEnd, Map<Address, Long> numbersOfPeers) {
    /** Copies the map. */
    public DocumentStatus {
        numbersOfPeers = Map.copyOf(numbersOfPeers);
    }
}
