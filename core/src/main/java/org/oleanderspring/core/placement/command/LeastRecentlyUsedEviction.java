package org.oleanderspring.core.placement.command;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Unloads the least recently used slots. */
public final class LeastRecentlyUsedEviction implements EvictionPolicy {
    private static final Comparator<IdleSlot> OLDEST_FIRST =
            Comparator.comparing(IdleSlot::lastUse).thenComparing(idle -> idle.slot().key());

    @Override
    public List<IdleSlot> choose(List<IdleSlot> idle, long megabytes) {
        List<IdleSlot> chosen = new ArrayList<>();
        long freed = 0;
        for (IdleSlot candidate : idle.stream().sorted(OLDEST_FIRST).toList()) {
            if (freed >= megabytes) {
                break;
            }
            chosen.add(candidate);
            freed += candidate.slot().memoryMegabytes();
        }
        return freed >= megabytes ? chosen : List.of();
    }
}
