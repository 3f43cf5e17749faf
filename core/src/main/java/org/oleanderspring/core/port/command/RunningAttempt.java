package org.oleanderspring.core.port.command;

/** Handle of a started attempt. */
public interface RunningAttempt {
    /** Cancels the attempt. The listener is still notified when the attempt ends. */
    void cancel();
}
