package org.oleanderspring.daemon.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.oleanderspring.core.message.ErrorMessage;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;

/** Reads a settings draft from a file. */
public final class DraftFile {
    private DraftFile() {}

    /**
     * Reads a file.
     *
     * @param spec the command that has the file as its parameter
     * @param file the path of the file, in UTF-8
     * @return the text of the file
     * @throws ParameterException if the file cannot be read
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
