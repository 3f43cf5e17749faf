package org.oleanderspring.coordination.membership;

import java.util.Objects;

/**
 * An IP number with a port.
 *
 * @param ip the IP number
 * @param port the port, 1 to 65535
 */
public record Address(String ip, int port) {
    private static final int HIGHEST_PORT = 65_535;

    /** Checks the range of the port. */
    public Address {
        Objects.requireNonNull(ip, "ip");
        if (port < 1 || port > HIGHEST_PORT) {
            throw new IllegalArgumentException("port is out of range: " + port);
        }
    }

    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
