package org.oleanderspring.daemon.gateway.quarantine.command;

import org.oleanderspring.core.quarantine.SuspectCall;
import org.oleanderspring.core.quarantine.command.QuarantineEvent;
import org.oleanderspring.core.runner.RunnerRegistration;
import org.oleanderspring.daemon.gateway.StoreUpdate;

/** An event in the ring of the quarantine duty. */
public sealed interface QuarantineInput {
    /**
     * An event that is passed to the decider.
     *
     * @param event the event
     */
    record Event(QuarantineEvent event) implements QuarantineInput {}

    /**
     * A runner closed the connection of a call that it was beginning to answer.
     *
     * @param runner the runner
     * @param call the call
     */
    record AnswerBroken(RunnerRegistration runner, SuspectCall call) implements QuarantineInput {}

    /**
     * The keys that the daemons share in the key-value service changed.
     *
     * @param update the change
     */
    record StoreChanged(StoreUpdate update) implements QuarantineInput {}
}
