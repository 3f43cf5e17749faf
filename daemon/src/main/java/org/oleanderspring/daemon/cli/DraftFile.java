package org.oleanderspring.daemon.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.oleanderspring.core.message.ErrorMessage;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;

/** Reads a settings document from a file. */
public final class DraftFile {
    private DraftFile() {}

    /**
     * Reads the file.
     *
     * @param spec the command that names the file
     * @param file the file
     * @return its text
     */
    public static String read(CommandSpec spec, Path file) {
        try {
            return Files.readString(file);
        } catch (IOException unreadable) {
            throw new ParameterException(
                    spec.commandLine(),
                    ErrorMessage.BAD_FLAG.format("FILE", file.toString(), "a readable file"),
                    unreadable);
        }
    }
}
