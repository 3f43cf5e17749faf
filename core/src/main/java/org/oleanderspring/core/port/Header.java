package org.oleanderspring.core.port;

import java.util.Objects;

/**
 * An HTTP header field of a request or response.
 *
 * @param name the field name
 * @param value the field value
 */
public record Header(String name, String value) {
    /** Rejects null components. */
    public Header {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(value, "value");
    }
}
