package org.oleanderspring.coordination.membership;

import java.util.Objects;

/**
 * An IP address and a port.
 *
 * @param ip the IP address in text form
 * @param port the port, 1 to 65535
 */
public record Address(String ip, int port) {
    private static final int HIGHEST_PORT = 65_535;

    /** Rejects a null IP address and a port outside of 1 to 65535. */
    public Address {
        Objects.requireNonNull(ip, "ip");
        if (port < 1 || port > HIGHEST_PORT) {
            throw new IllegalArgumentException(
                    "port " + port + " is out of range; allowed: 1 to " + HIGHEST_PORT);
        }
    }

    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
