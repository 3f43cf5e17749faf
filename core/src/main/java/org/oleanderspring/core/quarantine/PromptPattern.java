package org.oleanderspring.core.quarantine;

import java.util.Collection;
import java.util.List;
import java.util.Objects;
import org.oleanderspring.coordination.membership.query.RendezvousRanking;

/**
 * Parts that a prompt must all contain to match.
 *
 * @param parts the parts, sorted and without duplicates; at least one
 */
public record PromptPattern(List<PromptPart> parts) {
    private static final String ID_KEY = "quarantine";

    /** Sorts the parts and removes duplicates; rejects an empty list. */
    public PromptPattern {
        Objects.requireNonNull(parts, "parts");
        parts = parts.stream().distinct().sorted().toList();
        if (parts.isEmpty()) {
            throw new IllegalArgumentException("a prompt pattern needs at least one part");
        }
    }

    /**
     * Returns whether a prompt contains all parts of the pattern.
     *
     * @param prompt the prompt
     */
    public boolean matches(Prompt prompt) {
        return isContainedIn(prompt.parts());
    }

    /**
     * Returns whether all parts of the pattern are in a collection.
     *
     * @param candidates the collection
     */
    public boolean isContainedIn(Collection<PromptPart> candidates) {
        return candidates.containsAll(parts);
    }

    /** Returns a short name, which is the same on all daemons. */
    public String id() {
        return String.format("%016x", RendezvousRanking.weight(ID_KEY, toString()));
    }

    @Override
    public String toString() {
        return String.join(",", parts.stream().map(PromptPart::id).toList());
    }
}
