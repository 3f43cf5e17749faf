package org.oleanderspring.core.quarantine.query;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.quarantine.Prompt;
import org.oleanderspring.core.quarantine.PromptPart;
import org.oleanderspring.core.quarantine.PromptPattern;

/** The patterns whose calls are refused. Immutable. */
public final class Quarantine {
    /** A quarantine without patterns. */
    public static final Quarantine NONE = new Quarantine(List.of());

    /** The patterns by the first of their parts, so that few are compared with a prompt. */
    private final Map<PromptPart, List<PromptPattern>> mByFirstPart = new HashMap<>();

    private final int mSize;

    /**
     * Creates a quarantine.
     *
     * @param patterns the patterns
     */
    public Quarantine(Collection<PromptPattern> patterns) {
        mSize = patterns.size();
        for (PromptPattern pattern : patterns) {
            mByFirstPart
                    .computeIfAbsent(pattern.parts().get(0), part -> new ArrayList<>())
                    .add(pattern);
        }
    }

    /** Returns the number of patterns. */
    public int size() {
        return mSize;
    }

    /**
     * Returns the pattern that a prompt matches, or null if there is none.
     *
     * @param prompt the prompt
     */
    public @Nullable PromptPattern find(Prompt prompt) {
        if (mByFirstPart.isEmpty()) {
            return null;
        }
        List<PromptPart> parts = prompt.parts();
        for (PromptPart part : parts) {
            for (PromptPattern pattern : mByFirstPart.getOrDefault(part, List.of())) {
                if (pattern.isContainedIn(parts)) {
                    return pattern;
                }
            }
        }
        return null;
    }
}
