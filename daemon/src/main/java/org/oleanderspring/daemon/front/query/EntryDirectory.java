package org.oleanderspring.daemon.front.query;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.fleet.FailureDomain;

/**
 * The directory of the entry addresses to which callers may connect.
 *
 * @param entries the entry addresses
 * @param timeToLive how long callers may cache the directory
 */
public record EntryDirectory(List<Entry> entries, Duration timeToLive) {
    /** Copies the list; rejects a null duration. */
    public EntryDirectory {
        entries = List.copyOf(entries);
        Objects.requireNonNull(timeToLive, "timeToLive");
    }

    /**
     * One entry address.
     *
     * @param address the address to which callers connect
     * @param failureDomain the failure domain of its VM
     */
    public record Entry(Address address, FailureDomain failureDomain) {
        /** Rejects null components. */
        public Entry {
            Objects.requireNonNull(address, "address");
            Objects.requireNonNull(failureDomain, "failureDomain");
        }
    }
}
