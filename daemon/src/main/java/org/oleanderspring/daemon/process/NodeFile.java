package org.oleanderspring.daemon.process;

import java.io.IOException;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Properties;

/**
 * A file with settings of this VM, for platforms that provide settings as a file. It is in UTF-8
 * and in the format of {@link Properties}, with one variable per line. An environment variable of
 * the same name takes precedence.
 */
public final class NodeFile {
    private static final String PATH_VARIABLE = "OLEANDERSPRING_NODE_FILE";

    private NodeFile() {}

    /**
     * Returns the path of the file; empty if the environment variable {@code
     * OLEANDERSPRING_NODE_FILE} is not set.
     */
    public static Optional<Path> location() {
        return Optional.ofNullable(System.getenv(PATH_VARIABLE)).map(Path::of);
    }

    /** Reads the file; returns no values if the environment names none. */
    static Properties read() {
        return location().map(NodeFile::read).orElseGet(Properties::new);
    }

    /**
     * Reads a file. An unreadable file counts as empty; the command line parser then reports the
     * required flags as missing.
     */
    private static Properties read(Path file) {
        Properties properties = new Properties();
        try (Reader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
            properties.load(reader);
        } catch (IOException | IllegalArgumentException unreadable) {
            properties.clear();
        }
        return properties;
    }
}
