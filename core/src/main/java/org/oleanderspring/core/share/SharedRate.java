package org.oleanderspring.core.share;

/**
 * A rate that all daemons together may use.
 *
 * @param perSecond the units that become available in a second
 * @param burst the units that may be used at once beyond the rate
 */
public record SharedRate(double perSecond, double burst) {
    /** Rejects a rate that is not positive, and numbers that are not finite. */
    public SharedRate {
        if (!(perSecond > 0) || Double.isInfinite(perSecond)) {
            throw new IllegalArgumentException("shared rate: " + perSecond);
        }
        if (!(burst >= 0) || Double.isInfinite(burst)) {
            throw new IllegalArgumentException("burst of a shared rate: " + burst);
        }
    }
}
