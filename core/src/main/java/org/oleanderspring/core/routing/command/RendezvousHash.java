package org.oleanderspring.core.routing.command;

import org.oleanderspring.core.fleet.EndpointId;

/** Rendezvous hashing (highest random weight) of keys onto endpoints. */
final class RendezvousHash {
    /** The increment of SplitMix64: 2^64 divided by the golden ratio. */
    private static final long GOLDEN_RATIO = 0x9E3779B97F4A7C15L;

    private static final long FIRST_FACTOR = 0xBF58476D1CE4E5B9L;
    private static final long SECOND_FACTOR = 0x94D049BB133111EBL;

    /** A double holds the upper 53 bits of a hash. */
    private static final int FRACTION_SHIFT = 11;

    private static final double FRACTION_UNIT = 0x1.0p-53;

    private RendezvousHash() {}

    /**
     * Returns the weight of an endpoint for a key. The endpoint with the highest weight is chosen.
     */
    static long weight(long key, EndpointId endpoint) {
        return mix(key + endpoint.value().hashCode() * GOLDEN_RATIO);
    }

    /** Returns a number from 0 to 1, excluding 1, that depends on a key only. */
    static double fraction(long key) {
        return (mix(key * GOLDEN_RATIO) >>> FRACTION_SHIFT) * FRACTION_UNIT;
    }

    /** The finalizer of SplitMix64. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * FIRST_FACTOR;
        mixed = (mixed ^ (mixed >>> 27)) * SECOND_FACTOR;
        return mixed ^ (mixed >>> 31);
    }
}
