package org.oleanderspring.coordination.session;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.namer.ApprovalNamer;
import org.approvaltests.reporters.Junit5Reporter;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Replays the session files. A file contains commands, which start with {@code >}, each followed by
 * the resulting decisions, and comments, which start with {@code #}. To add a case, add a file with
 * commands only; the first run writes the completed file as a {@code received} file next to it.
 */
class SessionTest {
    private static final Path DIRECTORY = Path.of("src", "test", "resources", "sessions");
    private static final String COMMAND_PREFIX = "> ";

    static List<Path> sessions() throws IOException {
        try (Stream<Path> files = Files.list(DIRECTORY)) {
            return files.filter(file -> file.toString().endsWith(".approved.txt"))
                    .sorted()
                    .toList();
        }
    }

    /** Guards against an unintended change of the order or content of decisions. */
    @ParameterizedTest
    @MethodSource("sessions")
    void decisionsAreAsApproved(Path file) throws IOException {
        ScriptedSession session =
                file.getFileName().toString().startsWith("lease")
                        ? new LeaseSession()
                        : new DispatchSession();
        StringBuilder transcript = new StringBuilder();
        for (String line : Files.readAllLines(file)) {
            if (line.startsWith(COMMAND_PREFIX)) {
                transcript.append(line).append('\n');
                session.run(line.substring(COMMAND_PREFIX.length()))
                        .forEach(result -> transcript.append("  ").append(result).append('\n'));
            } else if (line.startsWith("#")) {
                transcript.append(line).append('\n');
            }
        }
        Options options = new Options(new Junit5Reporter());
        Approvals.verify(transcript.toString(), options.forFile().withNamer(new FileNamer(file)));
    }

    /** Uses the session file itself as the approved file. */
    private record FileNamer(Path file) implements ApprovalNamer {
        @Override
        public File getApprovedFile(String extension) {
            return file.toFile();
        }

        @Override
        public File getReceivedFile(String extension) {
            return new File(file.toString().replace(".approved.", ".received."));
        }

        @Override
        public String getApprovalName() {
            return file.getFileName().toString().replace(".approved.txt", "");
        }

        @Override
        public String getSourceFilePath() {
            return DIRECTORY + File.separator;
        }

        @Override
        public ApprovalNamer addAdditionalInformation(String information) {
            return this;
        }

        @Override
        public String getAdditionalInformation() {
            return "";
        }
    }
}
