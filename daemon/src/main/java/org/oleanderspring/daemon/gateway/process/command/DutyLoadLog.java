package org.oleanderspring.daemon.gateway.process.command;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import org.oleanderspring.duty.query.DutyLoad;

/** Logs the work of the gateway's duties, so that an overloaded duty and its cause are visible. */
final class DutyLoadLog {
    private static final Logger LOGGER = System.getLogger(DutyLoadLog.class.getName());

    /** The number of kinds of events that a line names. */
    private static final int KINDS = 4;

    private DutyLoadLog() {}

    static void log(String duty, DutyLoad load) {
        StringBuilder line = new StringBuilder("[duty] load duty=").append(duty);
        line.append(" period-ms=").append(load.period().toMillis());
        line.append(" events=").append(load.events());
        line.append(" busy-ms=").append(load.busy().toMillis());
        line.append(" longest-wait-ms=").append(load.longestWait().toMillis());
        load.kinds().stream().limit(KINDS).forEach(kind -> append(line, kind));
        LOGGER.log(Level.INFO, line.toString());
    }

    private static void append(StringBuilder line, DutyLoad.Kind kind) {
        line.append(' ').append(kind.name()).append("=\"events ").append(kind.events());
        line.append(", busy-ms ").append(kind.busy().toMillis());
        line.append(", longest-ms ").append(kind.longest().toMillis()).append('"');
    }
}
