package org.oleanderspring.bench.query;

/**
 * What happened in one simulated run.
 *
 * @param deadlyCrashes the runners that crashed under a deadly part
 * @param otherCrashes the runners that crashed for other reasons
 * @param deadlyCallsAfterBound the calls with a deadly part that reached a runner later than three
 *     seconds after the fifth crash
 * @param soundCalls the calls without a deadly part
 * @param soundCallsRefused those of them that were refused because of their prompt
 * @param wrongPatterns the refused patterns that match a sound prompt
 * @param applications the applications that began to ask
 * @param refusedApplications those of them of which a call was refused because of its prompt
 */
public record QuarantineResult(
        int deadlyCrashes,
        int otherCrashes,
        int deadlyCallsAfterBound,
        int soundCalls,
        int soundCallsRefused,
        int wrongPatterns,
        int applications,
        int refusedApplications) {}
