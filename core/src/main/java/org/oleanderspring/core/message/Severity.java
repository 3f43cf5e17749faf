package org.oleanderspring.core.message;

/** The severity of a message. */
public enum Severity {
    /** The message is informational. */
    INFORMATION,
    /** A condition may need attention. */
    WARNING,
    /** A request or command failed. */
    ERROR
}
