package org.oleanderspring.daemon.gateway;

import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.directory.DaemonCapacity;
import org.oleanderspring.core.directory.DaemonListing;
import org.oleanderspring.core.fleet.FailureDomain;

/**
 * A running daemon. Its id has the form {@code NAME@IP:PORT}, with the name of its VM and the
 * address at which it accepts requests, so that the other daemons can derive the address from the
 * id. If the capacity of its VM is set, the form is {@code NAME@DOMAIN@CORES-MEGABITS@IP:PORT},
 * with the cores in hundredths and the megabits a second of its link in tenths; a daemon that does
 * not know this form reads only the address. The port for messages between daemons is not included,
 * because it is the same on all VMs.
 *
 * @param id the id
 * @param frontAddress the address at which it accepts requests
 */
public record GatewayMember(MemberId id, Address frontAddress) {
    private static final char SEPARATOR = '@';
    private static final char CAPACITY_SEPARATOR = '-';
    private static final double CORE_UNIT = 100;
    private static final double MEGABIT_UNIT = 10;

    /** The parts of an id that names the failure domain and the capacity. */
    private static final int PARTS = 4;

    /** Rejects null components. */
    public GatewayMember {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(frontAddress, "frontAddress");
    }

    /**
     * Returns the member for a VM name and an address.
     *
     * @param vmName the name of its VM, without {@code @}
     * @param frontAddress the address at which it accepts requests
     */
    public static GatewayMember of(String vmName, Address frontAddress) {
        return new GatewayMember(
                new MemberId(vmName + SEPARATOR + frontAddress.ip() + ":" + frontAddress.port()),
                frontAddress);
    }

    /**
     * Returns the member for a VM whose capacity is set.
     *
     * @param vmName the name of its VM, without {@code @}
     * @param frontAddress the address at which it accepts requests
     * @param failureDomain the failure domain of its VM; left out if it contains {@code @}
     * @param capacity the capacity of its VM
     */
    public static GatewayMember of(
            String vmName,
            Address frontAddress,
            FailureDomain failureDomain,
            DaemonCapacity capacity) {
        if (failureDomain.name().indexOf(SEPARATOR) >= 0) {
            return of(vmName, frontAddress);
        }
        String details =
                failureDomain.name()
                        + SEPARATOR
                        + Math.max(1, Math.round(capacity.cores() * CORE_UNIT))
                        + CAPACITY_SEPARATOR
                        + Math.max(1, Math.round(capacity.linkMegabits() * MEGABIT_UNIT));
        return of(vmName + SEPARATOR + details, frontAddress);
    }

    /** Returns what callers may be told of the daemon, as far as its id says it. */
    public DaemonListing listing() {
        String address = frontAddress.ip() + ":" + frontAddress.port();
        String[] parts = id.value().split(String.valueOf(SEPARATOR), -1);
        DaemonCapacity capacity = parts.length == PARTS ? parseCapacity(parts[2]) : null;
        return capacity == null
                ? new DaemonListing(address, null, null)
                : new DaemonListing(address, new FailureDomain(parts[1]), capacity);
    }

    private static @Nullable DaemonCapacity parseCapacity(String text) {
        int separator = text.indexOf(CAPACITY_SEPARATOR);
        try {
            return new DaemonCapacity(
                    Long.parseLong(text.substring(0, Math.max(0, separator))) / CORE_UNIT,
                    Long.parseLong(text.substring(separator + 1)) / MEGABIT_UNIT);
        } catch (IllegalArgumentException malformed) {
            return null;
        }
    }

    /**
     * Parses an id; the result is empty if it does not have the form {@code NAME@IP:PORT}.
     *
     * @param id the id
     */
    public static Optional<GatewayMember> parse(MemberId id) {
        String text = id.value();
        int addressStart = text.lastIndexOf(SEPARATOR) + 1;
        int portSeparator = text.lastIndexOf(':');
        if (addressStart == 0 || portSeparator < addressStart) {
            return Optional.empty();
        }
        try {
            Address frontAddress =
                    new Address(
                            text.substring(addressStart, portSeparator),
                            Integer.parseInt(text.substring(portSeparator + 1)));
            return Optional.of(new GatewayMember(id, frontAddress));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }
}
