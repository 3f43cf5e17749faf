package org.oleanderspring.coordination.membership.query;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Ranks candidates for a key by rendezvous hashing.
 *
 * <p>Members with the same set of candidates compute the same ranking. When a candidate is removed,
 * only the keys for which it ranked first move to another candidate.
 *
 * <p>The weight is the 64-bit FNV-1a hash of the key, then of the candidate, each followed by the
 * finalizer of MurmurHash3.
 */
public final class RendezvousRanking {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long FIRST_MIX_FACTOR = 0xff51afd7ed558ccdL;
    private static final long SECOND_MIX_FACTOR = 0xc4ceb9fe1a85ec53L;
    private static final int MIX_SHIFT = 33;
    private static final int BYTE_MASK = 0xff;

    private RendezvousRanking() {}

    /**
     * Returns the candidates with the highest weights, the highest first.
     *
     * @param key the key that the candidates are ranked for
     * @param candidates the candidates; a candidate given twice may be returned twice
     * @param identity maps a candidate to its identity, which must be the same at every member
     * @param count the largest number of candidates to return
     * @param <T> the type of candidate
     */
    public static <T> List<T> top(
            String key, Collection<T> candidates, Function<T, String> identity, int count) {
        Comparator<Weighted<T>> heaviestFirst =
                Comparator.<Weighted<T>>comparingLong(Weighted::weight)
                        .reversed()
                        .thenComparing(Weighted::name);
        return candidates.stream()
                .map(candidate -> Weighted.of(key, candidate, identity.apply(candidate)))
                .sorted(heaviestFirst)
                .limit(count)
                .map(Weighted::candidate)
                .toList();
    }

    /**
     * Returns the candidate with the highest weight, or empty if there are no candidates.
     *
     * @param key the key that the candidates are ranked for
     * @param candidates the candidates
     * @param identity maps a candidate to its identity, which must be the same at every member
     * @param <T> the type of candidate
     */
    public static <T> Optional<T> first(
            String key, Collection<T> candidates, Function<T, String> identity) {
        return top(key, candidates, identity, 1).stream().findFirst();
    }

    /**
     * Returns the weight of a candidate for a key.
     *
     * @param key the key
     * @param candidate the identity of the candidate
     */
    public static long weight(String key, String candidate) {
        long hash = mix(fnv1a(FNV_OFFSET_BASIS, key));
        return mix(fnv1a(hash, candidate));
    }

    private static long fnv1a(long start, String text) {
        long hash = start;
        for (byte next : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (next & BYTE_MASK)) * FNV_PRIME;
        }
        return hash;
    }

    private static long mix(long value) {
        long mixed = (value ^ (value >>> MIX_SHIFT)) * FIRST_MIX_FACTOR;
        mixed = (mixed ^ (mixed >>> MIX_SHIFT)) * SECOND_MIX_FACTOR;
        return mixed ^ (mixed >>> MIX_SHIFT);
    }

    private record Weighted<T>(T candidate, String name, long weight) {
        static <T> Weighted<T> of(String key, T candidate, String name) {
            return new Weighted<>(candidate, name, RendezvousRanking.weight(key, name));
        }
    }
}
