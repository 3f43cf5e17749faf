package org.oleanderspring.core.quarantine.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.oleanderspring.core.quarantine.PromptPart;

/**
 * The parts of prompts that were answered a short time ago. Beyond the capacity, the part whose
 * last answer is the oldest is forgotten.
 */
final class SoundParts {
    /**
     * How long an answer proves a part sound. Much longer than runners take to restart, so that a
     * part in frequent use stays sound while no runner answers.
     */
    static final Duration VALIDITY = Duration.ofMinutes(1);

    /** About a megabyte; a daemon at its design load sees about 150 parts a second. */
    private static final int CAPACITY = 8_192;

    private final Map<PromptPart, Instant> mAnsweredAt = new LinkedHashMap<>();

    void add(PromptPart part, Instant now) {
        mAnsweredAt.remove(part);
        mAnsweredAt.put(part, now);
        if (mAnsweredAt.size() > CAPACITY) {
            Iterator<PromptPart> oldest = mAnsweredAt.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    boolean contains(PromptPart part, Instant now) {
        Instant answeredAt = mAnsweredAt.get(part);
        return answeredAt != null && now.isBefore(answeredAt.plus(VALIDITY));
    }

    int size() {
        return mAnsweredAt.size();
    }
}
