package org.oleanderspring.daemon.process;

/** The exit codes of all subcommands. */
public final class ExitCode {
    /** The command succeeded. */
    public static final int SUCCESS = 0;

    /** The command failed while it ran. */
    public static final int FAILURE = 1;

    /**
     * A flag or an environment variable is invalid, or a port cannot be opened; nothing was done.
     */
    public static final int USAGE = 2;

    /** The daemon refused the request, for example because the settings changed meanwhile. */
    public static final int REFUSED = 3;

    /** The daemon could not be reached. */
    public static final int UNREACHABLE = 4;

    private ExitCode() {}
}
