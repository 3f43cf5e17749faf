package org.oleanderspring.daemon.gateway.quarantine.command;

import java.time.Duration;
import java.util.Set;
import org.oleanderspring.core.quarantine.PromptPart;
import org.oleanderspring.core.quarantine.QuarantineEntry;
import org.oleanderspring.core.quarantine.RunnerCrash;
import org.oleanderspring.daemon.gateway.GatewayMember;

/** Sends messages about prompts that crash runners to other daemons. A message may be lost. */
public interface QuarantineNotifier {
    /**
     * Reports the end of a runner.
     *
     * @param member the recipient
     * @param crash the runner and the calls that it was beginning to answer
     * @param age the time since the runner ended
     */
    void sendCrash(GatewayMember member, RunnerCrash crash, Duration age);

    /**
     * Names suspected parts that were answered at this daemon.
     *
     * @param member the recipient
     * @param parts the parts
     */
    void sendSoundParts(GatewayMember member, Set<PromptPart> parts);

    /**
     * Sends an entry of the quarantine.
     *
     * @param member the recipient
     * @param entry the entry
     * @param remaining the time for which calls are refused; negative if it is over
     */
    void sendEntry(GatewayMember member, QuarantineEntry entry, Duration remaining);
}
