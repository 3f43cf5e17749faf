package org.oleanderspring.daemon.gateway.routing.command;

import java.util.Set;
import org.oleanderspring.core.quarantine.Prompt;
import org.oleanderspring.core.quarantine.PromptPattern;
import org.oleanderspring.core.quarantine.SuspectCall;
import org.oleanderspring.core.runner.RunnerRegistration;

/** Receives what the answers of runners show about the prompts of calls. */
public interface PromptObserver {
    /**
     * Reports that a runner closed the connection of a call that it was beginning to answer.
     *
     * @param runner the runner
     * @param call the call
     */
    void answerBroken(RunnerRegistration runner, SuspectCall call);

    /**
     * Reports that runners answered calls, completely or far enough to show that their prompts do
     * not crash runners.
     *
     * @param prompts the prompts of the calls
     */
    void callsAnswered(Set<Prompt> prompts);

    /**
     * Reports that calls were refused because of their prompts.
     *
     * @param patterns the patterns of their prompts
     */
    void callsRefused(Set<PromptPattern> patterns);
}
