package org.oleanderspring.core.routing.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.reporters.QuietReporter;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Replays golden sessions. Each file in src/test/resources/routing-sessions is one test case. Lines
 * that start with # describe the failure that the case guards against, event lines have the form
 * "milliseconds event", and indented lines are the expected decisions. A new file adds a test case.
 */
class RoutingSessionTest {
    private static final Path FOLDER = Path.of("src", "test", "resources", "routing-sessions");
    private static final String DECISION_INDENT = "    ";
    private static final long SALT = 7;

    static List<Path> sessions() throws IOException {
        try (Stream<Path> files = Files.list(FOLDER)) {
            return files.sorted().toList();
        }
    }

    /** Guards against changes of decisions, of their order and of their reasons. */
    @ParameterizedTest
    @MethodSource("sessions")
    void decisionsFollowTheSession(Path file) throws IOException {
        Options options = new Options(new QuietReporter());
        Approvals.verify(
                replay(Files.readAllLines(file)),
                options.forFile().withNamer(new SessionFile(file)));
    }

    private static String replay(List<String> lines) {
        RoutingDecider decider =
                new DefaultRoutingDecider(
                        new PrefixAffinitySelector(new LeastLoadedSelector(SALT)),
                        new RefuseByEstimatePolicy(),
                        new SafeRetryPolicy());
        StringBuilder transcript = new StringBuilder();
        for (String line : lines) {
            if (line.startsWith(DECISION_INDENT)) {
                continue;
            }
            transcript.append(line).append('\n');
            if (!line.isBlank() && !line.startsWith("#")) {
                appendDecisions(line, decider, transcript);
            }
        }
        return transcript.toString();
    }

    private static void appendDecisions(
            String line, RoutingDecider decider, StringBuilder transcript) {
        int blank = line.indexOf(' ');
        Instant now = Instant.EPOCH.plusMillis(Long.parseLong(line.substring(0, blank)));
        RoutingEvent event = SessionEvents.parse(line.substring(blank + 1), now);
        for (RoutingDecision decision : decider.decide(event, now)) {
            transcript
                    .append(DECISION_INDENT)
                    .append(SessionDecisions.format(decision, Instant.EPOCH))
                    .append('\n');
        }
    }
}
