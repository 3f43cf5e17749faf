package org.oleanderspring.core.port.command;

/** An attempt that was started. */
public interface RunningAttempt {
    /** Stops the attempt; the listener still receives its end. */
    void cancel();
}
