package org.oleanderspring.core.organisation;

/**
 * The name of an organisation.
 *
 * @param value the name, not blank
 */
public record OrganisationName(String value) implements Comparable<OrganisationName> {
    /** Rejects a blank name. */
    public OrganisationName {
        if (value.isBlank()) {
            throw new IllegalArgumentException("organisation name is blank");
        }
    }

    @Override
    public int compareTo(OrganisationName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
