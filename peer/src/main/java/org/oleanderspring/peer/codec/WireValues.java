package org.oleanderspring.peer.codec;

import java.time.Duration;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.peer.generated.PeerProtocol;

/** Encodes and decodes values that several messages use, and checks their ranges. */
final class WireValues {
    private WireValues() {}

    static PeerProtocol.PeerAddress encodeAddress(Address address) {
        return PeerProtocol.PeerAddress.newBuilder()
                .setIp(address.ip())
                .setPort(address.port())
                .build();
    }

    static Address decodeAddress(PeerProtocol.PeerAddress address) {
        return new Address(nonEmpty(address.getIp()), address.getPort());
    }

    static long nonNegativeMillis(Duration duration) {
        return Math.max(0, duration.toMillis());
    }

    static Duration decodeDuration(long millis) {
        if (millis < 0) {
            throw new IllegalArgumentException("negative duration: " + millis + " ms");
        }
        return Duration.ofMillis(millis);
    }

    static int requireNonNegative(int value) {
        if (value < 0) {
            throw new IllegalArgumentException("negative count: " + value);
        }
        return value;
    }

    static String nonEmpty(String name) {
        if (name.isEmpty()) {
            throw new IllegalArgumentException("a required name or IP address is empty");
        }
        return name;
    }

    static IllegalArgumentException unknown(String field) {
        return new IllegalArgumentException("missing or unknown " + field);
    }
}
