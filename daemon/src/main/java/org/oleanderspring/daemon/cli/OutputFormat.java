package org.oleanderspring.daemon.cli;

/** The output formats of a subcommand. */
public enum OutputFormat {
    /** Lines of text. */
    TEXT,
    /** One JSON document. */
    JSON
}
