package org.oleanderspring.core.port;

import java.util.Objects;

/**
 * A header of a request or response.
 *
 * @param name the name
 * @param value the value
 */
public record Header(String name, String value) {
    /** Checks for missing parts. */
    public Header {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(value, "value");
    }
}
