package org.oleanderspring.core.message;

/** How serious a message is. */
public enum Severity {
    /** For information. */
    INFORMATION,
    /** Something may need attention. */
    WARNING,
    /** The request or command failed. */
    ERROR
}
