package org.oleanderspring.core.port.command;

/** Handle of a started attempt. */
public interface RunningAttempt {
    /** Cancels the attempt. The listener is still told when the attempt has ended. */
    void cancel();
}
