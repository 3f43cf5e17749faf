package org.oleanderspring.bench;

/** A way to store dispatch records: a call may start only after its claim has been recorded. */
interface DispatchRecordScheme {
    /**
     * Claims a new call. The result goes to the {@link ClaimStatistics}.
     *
     * @param call the number of the call; each number is claimed once
     */
    void claim(long call);

    /** Processes timeouts and waiting writes; called every {@link RecordThroughput#TICK}. */
    void tick();
}
