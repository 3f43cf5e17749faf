package org.oleanderspring.coordination.membership;

import java.time.Duration;

/**
 * Parameters of the membership protocol.
 *
 * @param probePeriod the time between two probes
 * @param acknowledgementTimeout how long to wait for an acknowledgement before other members are
 *     asked to probe; shorter than the probe period
 * @param indirectProbes the number of members that are asked to probe
 * @param suspicionPeriods the number of probe periods that a suspicion lasts, multiplied by the
 *     decimal logarithm of the number of members, rounded up to at least 1
 * @param memberRetention how long a failed or left member is kept; must be longer than the delay of
 *     the VM list
 * @param messageBytes the estimated message size up to which updates are added, in bytes; the
 *     encoding adds a few bytes, and a datagram should stay below 1,200 bytes
 */
public record MembershipOptions(
        Duration probePeriod,
        Duration acknowledgementTimeout,
        int indirectProbes,
        int suspicionPeriods,
        Duration memberRetention,
        int messageBytes) {
    private static final Duration DEFAULT_PROBE_PERIOD = Duration.ofMillis(500);
    private static final Duration DEFAULT_ACKNOWLEDGEMENT_TIMEOUT = Duration.ofMillis(200);
    private static final int DEFAULT_INDIRECT_PROBES = 3;
    private static final int DEFAULT_SUSPICION_PERIODS = 4;
    private static final Duration DEFAULT_MEMBER_RETENTION = Duration.ofSeconds(60);
    private static final int DEFAULT_MESSAGE_BYTES = 1_000;

    /**
     * Rejects a probe period that is not longer than the acknowledgement timeout, a negative number
     * of indirect probes, and less than one suspicion period or message byte.
     */
    public MembershipOptions {
        if (probePeriod.compareTo(acknowledgementTimeout) <= 0) {
            throw new IllegalArgumentException(
                    "the probe period of "
                            + probePeriod
                            + " is not longer than the acknowledgement timeout of "
                            + acknowledgementTimeout);
        }
        if (indirectProbes < 0 || suspicionPeriods < 1 || messageBytes < 1) {
            throw new IllegalArgumentException(
                    "membership options out of range: indirectProbes="
                            + indirectProbes
                            + ", suspicionPeriods="
                            + suspicionPeriods
                            + ", messageBytes="
                            + messageBytes
                            + "; required: indirectProbes at least 0, the others at least 1");
        }
    }

    /** Returns the default options. */
    public static MembershipOptions defaults() {
        return new MembershipOptions(
                DEFAULT_PROBE_PERIOD,
                DEFAULT_ACKNOWLEDGEMENT_TIMEOUT,
                DEFAULT_INDIRECT_PROBES,
                DEFAULT_SUSPICION_PERIODS,
                DEFAULT_MEMBER_RETENTION,
                DEFAULT_MESSAGE_BYTES);
    }
}
