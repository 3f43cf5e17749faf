package org.oleanderspring.coordination.dispatch;

import java.time.Duration;
import java.util.Objects;

/**
 * The operators' settings of dispatch records.
 *
 * @param retention how long a record is kept; must exceed the time in which a caller may repeat a
 *     call, plus the difference between the clocks of two daemons
 * @param writesPerSecond how many writes of the key-value service a daemon may use for all its
 *     partitions together
 */
public record DispatchSettings(Duration retention, int writesPerSecond) {
    /** The settings before those of the operators are known. */
    public static final DispatchSettings DEFAULT = new DispatchSettings(Duration.ofDays(1), 20);

    /** Checks the ranges. */
    public DispatchSettings {
        Objects.requireNonNull(retention, "retention");
        if (retention.isNegative() || retention.isZero()) {
            throw new IllegalArgumentException("retention is not positive: " + retention);
        }
        if (writesPerSecond < 1) {
            throw new IllegalArgumentException("write budget is not positive: " + writesPerSecond);
        }
    }
}
