package org.oleanderspring.core.placement.command;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.namer.ApprovalNamer;
import org.approvaltests.reporters.QuietReporter;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against unintended changes of the decisions in a whole session. Each session file is one
 * test case.
 */
class PlacementSessionTest {
    private static final Path SESSIONS = Path.of("src/test/resources/placement/sessions");

    static List<Path> sessions() throws IOException {
        try (Stream<Path> files = Files.list(SESSIONS)) {
            return files.filter(file -> file.toString().endsWith(".session")).sorted().toList();
        }
    }

    @ParameterizedTest
    @MethodSource("sessions")
    void sessionIsReplayed(Path file) throws IOException {
        String output = new PlacementSession().replay(Files.readAllLines(file));
        Options options = new Options(new QuietReporter());
        Approvals.verify(output, options.forFile().withNamer(new SessionNamer(file)));
    }

    /** Keeps the approved output next to the session file. */
    private record SessionNamer(Path session) implements ApprovalNamer {
        @Override
        public String getApprovalName() {
            return session.getFileName().toString();
        }

        @Override
        public String getSourceFilePath() {
            return session.getParent().toString();
        }

        @Override
        public File getReceivedFile(String extension) {
            return new File(session + ".received" + extension);
        }

        @Override
        public File getApprovedFile(String extension) {
            return new File(session + ".approved" + extension);
        }

        @Override
        public ApprovalNamer addAdditionalInformation(String info) {
            return this;
        }

        @Override
        public String getAdditionalInformation() {
            return "";
        }
    }
}
