package org.oleanderspring.daemon.front.query;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.fleet.FailureDomain;

/**
 * The addresses that callers may use.
 *
 * @param entries the addresses
 * @param timeToLive how long the answer may be kept
 */
public record EntryDirectory(List<Entry> entries, Duration timeToLive) {
    /** Copies the list. */
    public EntryDirectory {
        entries = List.copyOf(entries);
        Objects.requireNonNull(timeToLive, "keep");
    }

    /**
     * One address.
     *
     * @param address where callers connect
     * @param failureDomain the failure domain of its VM
     */
    public record Entry(Address address, FailureDomain failureDomain) {
        /** Checks for missing parts. */
        public Entry {
            Objects.requireNonNull(address, "address");
            Objects.requireNonNull(failureDomain, "failureDomain");
        }
    }
}
