package org.oleanderspring.daemon.document.query;

import java.time.Instant;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;

/**
 * The current settings versions at this daemon and at other daemons.
 *
 * @param settingsNumber the current settings number at this daemon; 0 before any were accepted
 * @param authorityEnd the time until which this daemon may decide by its documents, on its own
 *     clock; null if it may not decide
 * @param settingsNumbersByPeer the latest settings numbers that other daemons reported, by peer
 *     address
 */
public record DocumentStatus(
        long settingsNumber,
        @Nullable Instant authorityEnd,
        Map<Address, Long> settingsNumbersByPeer) {
    /** Copies the map. */
    public DocumentStatus {
        settingsNumbersByPeer = Map.copyOf(settingsNumbersByPeer);
    }
}
