package org.oleanderspring.coordination.dispatch;

import java.time.Duration;
import java.util.Objects;

/**
 * The settings of dispatch records that operators can change.
 *
 * @param retention how long a record is kept; must exceed the time in which a caller may repeat a
 *     call, plus the difference between the clocks of two daemons
 * @param writesPerSecond the largest rate of writes to the key-value service that a daemon may use
 *     for all its partitions together
 */
public record DispatchSettings(Duration retention, int writesPerSecond) {
    /** The settings used until the operators' settings are known. */
    public static final DispatchSettings DEFAULT = new DispatchSettings(Duration.ofDays(1), 20);

    /** Rejects a retention and a write rate that are not positive. */
    public DispatchSettings {
        Objects.requireNonNull(retention, "retention");
        if (retention.isNegative() || retention.isZero()) {
            throw new IllegalArgumentException("retention is not positive: " + retention);
        }
        if (writesPerSecond < 1) {
            throw new IllegalArgumentException(
                    "writes per second are not positive: " + writesPerSecond);
        }
    }
}
