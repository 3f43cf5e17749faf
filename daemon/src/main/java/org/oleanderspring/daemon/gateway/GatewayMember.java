package org.oleanderspring.daemon.gateway;

import java.util.Objects;
import java.util.Optional;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;

/**
 * A daemon as the others see it. Its identity contains its address for callers; the port for other
 * daemons is the same on all VMs.
 *
 * @param id the identity
 * @param frontAddress where it takes requests
 */
public record GatewayMember(MemberId id, Address frontAddress) {
    private static final char SEPARATOR = '@';

    /** Checks for missing parts. */
    public GatewayMember {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(frontAddress, "front");
    }

    /**
     * Returns the member with a name and an address.
     *
     * @param name the name of its VM
     * @param front where it takes requests
     */
    public static GatewayMember of(String name, Address front) {
        return new GatewayMember(
                new MemberId(name + SEPARATOR + front.ip() + ":" + front.port()), front);
    }

    /**
     * Reads an identity.
     *
     * @param id the identity
     */
    public static Optional<GatewayMember> parse(MemberId id) {
        String text = id.value();
        int address = text.lastIndexOf(SEPARATOR) + 1;
        int port = text.lastIndexOf(':');
        if (address == 0 || port < address) {
            return Optional.empty();
        }
        try {
            Address front =
                    new Address(
                            text.substring(address, port),
                            Integer.parseInt(text.substring(port + 1)));
            return Optional.of(new GatewayMember(id, front));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }
}
