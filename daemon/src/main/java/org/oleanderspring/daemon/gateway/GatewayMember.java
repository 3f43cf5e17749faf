package org.oleanderspring.daemon.gateway;

import java.util.Objects;
import java.util.Optional;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;

/**
 * A daemon as seen by the others. Its id has the form {@code NAME@IP:PORT}, with the address at
 * which it accepts requests. The port for messages between daemons is the same on all VMs.
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
     * @param name the name of its VM
     * @param frontAddress the address at which it accepts requests
     */
    public static GatewayMember of(String name, Address frontAddress) {
        return new GatewayMember(
                new MemberId(name + SEPARATOR + frontAddress.ip() + ":" + frontAddress.port()),
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
