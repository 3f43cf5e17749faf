package org.oleanderspring.core.quarantine.command;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.quarantine.Prompt;
import org.oleanderspring.core.quarantine.PromptPattern;
import org.oleanderspring.core.quarantine.QuarantineEntry;

/** The entries known to a daemon, one for each pattern. */
final class EntryTable {
    /** Bounds the value in the key-value service and the work for each call. */
    static final int MAX_ENTRIES = 256;

    private final Map<PromptPattern, QuarantineEntry> mEntries = new LinkedHashMap<>();

    /** When each entry got its present form here. */
    private final Map<PromptPattern, Instant> mChangedAt = new HashMap<>();

    /**
     * Takes over an entry unless the known one supersedes it or equals it. Beyond the limit, the
     * entry that ends first is dropped.
     *
     * @return whether the table changed
     */
    boolean merge(QuarantineEntry entry, Instant now) {
        QuarantineEntry known = mEntries.get(entry.pattern());
        if (known != null && !entry.supersedes(known)) {
            return false;
        }
        mEntries.put(entry.pattern(), entry);
        mChangedAt.put(entry.pattern(), now);
        if (mEntries.size() > MAX_ENTRIES) {
            mEntries.values().stream()
                    .min(Comparator.comparing(QuarantineEntry::until))
                    .ifPresent(first -> mEntries.remove(first.pattern()));
            mChangedAt.keySet().retainAll(mEntries.keySet());
        }
        return true;
    }

    /** Returns when an entry got its present form here. */
    Instant changedAt(QuarantineEntry entry) {
        return mChangedAt.getOrDefault(entry.pattern(), Instant.MIN);
    }

    @Nullable QuarantineEntry get(PromptPattern pattern) {
        return mEntries.get(pattern);
    }

    Collection<QuarantineEntry> entries() {
        return mEntries.values();
    }

    /** Removes entries that are no longer needed. */
    void expire(Instant now) {
        if (mEntries.values().removeIf(entry -> entry.isForgotten(now))) {
            mChangedAt.keySet().retainAll(mEntries.keySet());
        }
    }

    /** Returns the active entries that match a prompt. */
    List<QuarantineEntry> active(Prompt prompt, Instant now) {
        List<QuarantineEntry> active = new ArrayList<>();
        for (QuarantineEntry entry : mEntries.values()) {
            if (entry.isActive(now) && entry.pattern().matches(prompt)) {
                active.add(entry);
            }
        }
        return active;
    }

    /** Returns the entries that match a prompt, have ended, and are not withdrawn. */
    List<QuarantineEntry> onProbation(Prompt prompt, Instant now) {
        List<QuarantineEntry> ended = new ArrayList<>();
        for (QuarantineEntry entry : mEntries.values()) {
            if (!entry.isWithdrawn() && !entry.isActive(now) && entry.pattern().matches(prompt)) {
                ended.add(entry);
            }
        }
        return ended;
    }

    /** Returns whether an active entry refuses all calls that a pattern would refuse. */
    boolean covers(PromptPattern pattern, Instant now) {
        return mEntries.values().stream()
                .anyMatch(
                        entry ->
                                entry.isActive(now)
                                        && entry.pattern().isContainedIn(pattern.parts()));
    }

    List<QuarantineEntry> active(Instant now) {
        return mEntries.values().stream().filter(entry -> entry.isActive(now)).toList();
    }
}
