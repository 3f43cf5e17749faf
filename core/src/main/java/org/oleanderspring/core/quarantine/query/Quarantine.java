package org.oleanderspring.core.quarantine.query;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.quarantine.Prompt;
import org.oleanderspring.core.quarantine.PromptPart;
import org.oleanderspring.core.quarantine.RefusedPattern;

/** The patterns whose calls are refused. Immutable. */
public final class Quarantine {
    /** A quarantine without patterns. */
    public static final Quarantine NONE = new Quarantine(List.of());

    /** The patterns by the first of their parts, so that few are compared with a prompt. */
    private final Map<PromptPart, List<RefusedPattern>> mByFirstPart = new HashMap<>();

    private final List<RefusedPattern> mPatterns;

    /**
     * Creates a quarantine.
     *
     * @param patterns the patterns
     */
    public Quarantine(Collection<RefusedPattern> patterns) {
        mPatterns = List.copyOf(patterns);
        for (RefusedPattern refused : patterns) {
            mByFirstPart
                    .computeIfAbsent(refused.pattern().parts().get(0), part -> new ArrayList<>())
                    .add(refused);
        }
    }

    /** Returns all patterns. */
    public List<RefusedPattern> patterns() {
        return mPatterns;
    }

    /**
     * Returns a pattern that a prompt matches, or null if there is none. A pattern without a trial
     * is preferred, because it refuses the call in any case.
     *
     * @param prompt the prompt
     */
    public @Nullable RefusedPattern find(Prompt prompt) {
        if (mByFirstPart.isEmpty()) {
            return null;
        }
        RefusedPattern onTrial = null;
        List<PromptPart> parts = prompt.parts();
        for (PromptPart part : parts) {
            for (RefusedPattern refused : mByFirstPart.getOrDefault(part, List.of())) {
                if (!refused.pattern().isContainedIn(parts)) {
                    continue;
                }
                if (refused.trial() == 0) {
                    return refused;
                }
                onTrial = refused;
            }
        }
        return onTrial;
    }
}
