package org.oleanderspring.daemon.process;

import java.io.IOException;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Properties;

/**
 * A file with settings of this VM, one variable a line, for platforms that hand settings over as a
 * file. An environment variable of the same name goes before it.
 */
public final class NodeFile {
    private static final String LOCATION = "OLEANDERSPRING_NODE_FILE";

    private NodeFile() {}

    /** Returns where the file is, or nothing if the environment names none. */
    public static Optional<Path> location() {
        return Optional.ofNullable(System.getenv(LOCATION)).map(Path::of);
    }

    /** Reads the file that the environment names; without one there are no values. */
    static Properties read() {
        return location().map(NodeFile::read).orElseGet(Properties::new);
    }

    /** Reads a file; one that cannot be read has no values, and the missing flags say so. */
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
