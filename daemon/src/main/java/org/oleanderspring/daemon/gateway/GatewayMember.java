package org.oleanderspring.daemon.gateway;

import java.util.Objects;
import java.util.Optional;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;

/**
 * A running daemon. Its id has the form {@code NAME@IP:PORT}, with the name of its VM and the
 * address at which it accepts requests, so that the other daemons can derive the address from the
 * id. The port for messages between daemons is not included, because it is the same on all VMs.
 *
 * @param id the id
 * @param frontAddress the address at which it accepts requests
 */
public record GatewayMember(MemberId id, Address frontAddress) {
    private static final char SEPARATOR = '@';

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
