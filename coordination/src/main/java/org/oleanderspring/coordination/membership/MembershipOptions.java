package org.oleanderspring.coordination.membership;

import java.time.Duration;

/**
 * Numbers that govern how members are probed.
 *
 * @param probePeriod the time between two probes
 * @param acknowledgementTimeout how long to wait before other members are asked to probe
 * @param indirectProbes the number of members that are asked
 * @param suspicionPeriods the number of probe periods that a suspicion lasts, for each power of ten
 *     of the number of members
 * @param forgetAfter how long a failed or left member is remembered; longer than the VM list's lag
 * @param messageBytes the estimated size that updates may fill a message to; the encoding adds a
 *     few bytes, and a datagram should stay below 1,200 bytes
 */
public record MembershipOptions(
        Duration probePeriod,
        Duration acknowledgementTimeout,
        int indirectProbes,
        int suspicionPeriods,
        Duration forgetAfter,
        int messageBytes) {
    private static final Duration DEFAULT_PROBE_PERIOD = Duration.ofMillis(500);
    private static final Duration DEFAULT_ACKNOWLEDGEMENT_TIMEOUT = Duration.ofMillis(200);
    private static final int DEFAULT_INDIRECT_PROBES = 3;
    private static final int DEFAULT_SUSPICION_PERIODS = 4;
    private static final Duration DEFAULT_FORGET_AFTER = Duration.ofSeconds(60);
    private static final int DEFAULT_MESSAGE_BYTES = 1_000;

    /** Checks the ranges. */
    public MembershipOptions {
        if (probePeriod.compareTo(acknowledgementTimeout) <= 0) {
            throw new IllegalArgumentException(
                    "the probe period is not longer than the acknowledgement timeout");
        }
        if (indirectProbes < 0 || suspicionPeriods < 1 || messageBytes < 1) {
            throw new IllegalArgumentException("a count or size is out of range");
        }
    }

    /** Returns the usual numbers. */
    public static MembershipOptions defaults() {
        return new MembershipOptions(
                DEFAULT_PROBE_PERIOD,
                DEFAULT_ACKNOWLEDGEMENT_TIMEOUT,
                DEFAULT_INDIRECT_PROBES,
                DEFAULT_SUSPICION_PERIODS,
                DEFAULT_FORGET_AFTER,
                DEFAULT_MESSAGE_BYTES);
    }
}
