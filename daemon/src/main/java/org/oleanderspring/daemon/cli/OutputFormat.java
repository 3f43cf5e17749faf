package org.oleanderspring.daemon.cli;

/** How a subcommand prints its result. */
public enum OutputFormat {
    /** Lines for people. */
    TEXT,
    /** One JSON document. */
    JSON
}
