package org.oleanderspring.core.share;

import java.time.Duration;
import java.util.Objects;

/**
 * How exactly a shared rate has to be kept: in no window more may be used than {@code (rate x
 * window + burst) x (1 + overrun) + slack}.
 *
 * @param window the length of the windows
 * @param overrun the part by which the rate may be exceeded
 * @param slack the units by which it may be exceeded in addition
 */
public record ShareBounds(Duration window, double overrun, double slack) {
    /** Strict bounds over a window of eight seconds. */
    public static final ShareBounds STRICT = new ShareBounds(Duration.ofSeconds(8), 0, 0);

    private static final double NANOS_PER_SECOND = 1e9;

    /** Rejects a window that is not positive, and numbers that are negative or not finite. */
    public ShareBounds {
        Objects.requireNonNull(window, "window");
        if (window.isNegative() || window.isZero()) {
            throw new IllegalArgumentException("window of a shared rate: " + window);
        }
        requireAmount("overrun", overrun);
        requireAmount("slack", slack);
    }

    private static void requireAmount(String name, double value) {
        if (!(value >= 0) || Double.isInfinite(value)) {
            throw new IllegalArgumentException(name + " of a shared rate: " + value);
        }
    }

    /**
     * Returns the most that may be used in a window.
     *
     * @param rate the rate
     */
    public double limit(SharedRate rate) {
        double regular = rate.perSecond() * window.toNanos() / NANOS_PER_SECOND + rate.burst();
        return regular * (1 + overrun) + slack;
    }
}
