package org.oleanderspring.daemon.process;

/**
 * Sets the format of log lines to time, level, message and stack trace. The gateway subcommand
 * replaces the handler that uses it by one with a format of its own.
 */
public final class LogFormat {
    private static final String FORMAT_PROPERTY = "java.util.logging.SimpleFormatter.format";
    private static final String FORMAT = "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n";

    private LogFormat() {}

    /**
     * Installs the format, unless the system property for it is already set. To be called before
     * the first log line is written.
     */
    public static void install() {
        if (System.getProperty(FORMAT_PROPERTY) == null) {
            System.setProperty(FORMAT_PROPERTY, FORMAT);
        }
    }
}
