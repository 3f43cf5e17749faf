package org.oleanderspring.core.quarantine;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The parts of a request's prompt, in order.
 *
 * @param sharedParts the parts that other requests may share
 * @param ownPart the last part, which belongs to the request itself or to its session; null if
 *     unknown
 */
public record Prompt(List<PromptPart> sharedParts, @Nullable PromptPart ownPart) {
    /** A prompt whose parts are unknown. */
    public static final Prompt UNKNOWN = new Prompt(List.of(), null);

    /** Copies the list. */
    public Prompt {
        sharedParts = List.copyOf(sharedParts);
    }

    /** Returns all parts, in order. */
    public List<PromptPart> parts() {
        List<PromptPart> parts = new ArrayList<>(sharedParts);
        if (ownPart != null) {
            parts.add(ownPart);
        }
        return parts;
    }

    /** Returns the identities of the parts, separated by commas, for the log. */
    @Override
    public String toString() {
        return String.join(",", parts().stream().map(PromptPart::id).toList());
    }
}
