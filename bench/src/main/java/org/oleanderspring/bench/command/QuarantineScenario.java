package org.oleanderspring.bench.command;

import java.time.Duration;
import org.oleanderspring.core.quarantine.QuarantineLimits;

/**
 * The conditions of a simulated run.
 *
 * @param daemons the number of daemons
 * @param runners the number of runners
 * @param callsPerSecond the rate of calls
 * @param deadlyShare the share of calls with a deadly part
 * @param otherCrashesPerSecond the rate of crashes that have nothing to do with prompts
 * @param crashGroup which runners end together while an idle application begins to ask
 * @param messageLoss the share of messages between daemons that are lost
 * @param length the length of the run
 * @param limits how many crashes are evidence
 */
record QuarantineScenario(
        int daemons,
        int runners,
        double callsPerSecond,
        double deadlyShare,
        double otherCrashesPerSecond,
        CrashGroup crashGroup,
        double messageLoss,
        Duration length,
        QuarantineLimits limits) {}
