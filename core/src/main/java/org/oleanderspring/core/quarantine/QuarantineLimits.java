package org.oleanderspring.core.quarantine;

/**
 * How many crashes are evidence against a part of prompts.
 *
 * @param crashesRequired the number of crashed runners that make a part suspicious
 * @param crashesIfAmbiguous the number after which a part is refused although other parts explain
 *     the crashes as well
 */
public record QuarantineLimits(int crashesRequired, int crashesIfAmbiguous) {
    /**
     * A trial follows before calls are refused for good, so that its crash is the fourth. The next
     * crashes usually tell ambiguous parts apart. `bench quarantine` shows the error rates of other
     * limits.
     */
    public static final QuarantineLimits DEFAULT = new QuarantineLimits(3, 6);

    /** Rejects limits below 1 and an ambiguous limit below the other one. */
    public QuarantineLimits {
        if (crashesRequired < 1 || crashesIfAmbiguous < crashesRequired) {
            throw new IllegalArgumentException(
                    "limits are out of range: " + crashesRequired + ", " + crashesIfAmbiguous);
        }
    }
}
