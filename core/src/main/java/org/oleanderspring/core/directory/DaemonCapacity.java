package org.oleanderspring.core.directory;

/**
 * What the VM of a daemon gives it.
 *
 * @param cores the processor time a second, in seconds of a core
 * @param linkMegabits the bandwidth of its link in megabits a second
 */
public record DaemonCapacity(double cores, double linkMegabits) {
    /** The largest value of either. */
    public static final double MAX = 1_000_000;

    /** Rejects values that are not positive or above {@link #MAX}. */
    public DaemonCapacity {
        if (!(cores > 0 && cores <= MAX) || !(linkMegabits > 0 && linkMegabits <= MAX)) {
            throw new IllegalArgumentException(
                    "capacity is out of range: cores " + cores + ", link " + linkMegabits);
        }
    }
}
