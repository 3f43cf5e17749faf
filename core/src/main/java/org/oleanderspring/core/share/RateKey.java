package org.oleanderspring.core.share;

/**
 * The name of a shared rate.
 *
 * @param value the name, not blank
 */
public record RateKey(String value) {
    /** Rejects a blank name. */
    public RateKey {
        if (value.isBlank()) {
            throw new IllegalArgumentException("name of a shared rate is blank");
        }
    }
}
