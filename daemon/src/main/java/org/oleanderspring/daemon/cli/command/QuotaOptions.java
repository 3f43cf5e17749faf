package org.oleanderspring.daemon.cli.command;

import java.time.Duration;
import org.oleanderspring.core.share.ShareBounds;
import picocli.CommandLine.Option;

/** The options that say how exactly the quotas of organisations have to be kept. */
final class QuotaOptions {
    private static final double MILLIS_PER_SECOND = 1_000;

    @Option(
            names = "--quota-window-seconds",
            paramLabel = "SECONDS",
            defaultValue = "8",
            description = "Length of the windows in which quotas are counted.")
    private double mWindowSeconds;

    @Option(
            names = "--quota-overrun",
            paramLabel = "RATIO",
            defaultValue = "0",
            description = "Part of a quota by which it may be exceeded over all daemons.")
    private double mOverrun;

    @Option(
            names = "--quota-slack",
            paramLabel = "UNITS",
            defaultValue = "0",
            description = "Units by which a quota may be exceeded in addition.")
    private double mSlack;

    double windowSeconds() {
        return mWindowSeconds;
    }

    double overrun() {
        return mOverrun;
    }

    double slack() {
        return mSlack;
    }

    ShareBounds bounds() {
        return new ShareBounds(
                Duration.ofMillis((long) (mWindowSeconds * MILLIS_PER_SECOND)), mOverrun, mSlack);
    }
}
