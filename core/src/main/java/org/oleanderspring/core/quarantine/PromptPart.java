package org.oleanderspring.core.quarantine;

import java.util.Objects;

/**
 * The identity of a part of a prompt, such as a system prompt or a document. Equal parts have equal
 * identities in all prompts.
 *
 * @param id the identity, of at most {@link #MAX_LENGTH} characters
 */
public record PromptPart(String id) implements Comparable<PromptPart> {
    /** Bounds the memory that a remembered part takes. */
    public static final int MAX_LENGTH = 64;

    /** Rejects an empty or too long identity and one with white space or a comma. */
    public PromptPart {
        Objects.requireNonNull(id, "id");
        if (!isValid(id)) {
            throw new IllegalArgumentException("invalid identity of a prompt part: " + id);
        }
    }

    /**
     * Returns whether a text can be the identity of a part.
     *
     * @param id the text
     */
    public static boolean isValid(String id) {
        return !id.isEmpty()
                && id.length() <= MAX_LENGTH
                && id.chars().noneMatch(next -> next == ',' || next <= ' ');
    }

    @Override
    public int compareTo(PromptPart other) {
        return id.compareTo(other.id);
    }

    @Override
    public String toString() {
        return id;
    }
}
