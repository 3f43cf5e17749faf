package org.oleanderspring.daemon.cli.command;

import java.util.concurrent.atomic.AtomicBoolean;
import org.oleanderspring.daemon.process.ExitCode;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Runs the planned stop of a daemon when its process receives SIGTERM or SIGINT.
 *
 * <p>A shutdown hook would not do: at the beginning of its shutdown the JVM closes all log
 * handlers, so no step of the stop would be logged.
 */
final class StopSignals {
    private StopSignals() {}

    /**
     * Installs the handler. After the stop, the process ends with success, so that a process
     * manager does not take a planned stop for a failure. Further signals have no effect.
     *
     * @param stop the planned stop; runs on a thread of its own
     */
    static void handle(Runnable stop) {
        AtomicBoolean received = new AtomicBoolean();
        SignalHandler handler =
                signal -> {
                    if (received.compareAndSet(false, true)) {
                        new Thread(() -> stopAndExit(stop), "stop").start();
                    }
                };
        Signal.handle(new Signal("TERM"), handler);
        Signal.handle(new Signal("INT"), handler);
    }

    private static void stopAndExit(Runnable stop) {
        try {
            stop.run();
        } finally {
            Runtime.getRuntime().halt(ExitCode.SUCCESS);
        }
    }
}
