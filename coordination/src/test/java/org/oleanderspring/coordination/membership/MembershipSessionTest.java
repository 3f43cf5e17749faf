package org.oleanderspring.coordination.membership;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.reporters.QuietReporter;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares what members see in whole sessions with the approved files next to this class. */
class MembershipSessionTest {
    private static final long SEED = 4_711;

    /**
     * Guards against members that are not found, live members declared failed after a pause or a
     * cut, and stopping members that stay in the directory.
     */
    @ParameterizedTest
    @ValueSource(strings = {"join", "failure", "pause", "partition", "stop", "replaced"})
    void sessionMatchesApprovedFile(String name) throws IOException {
        Path script = Path.of("src", "test", "resources", "membership", name + ".session");
        String log =
                new MembershipSession(SEED, MembershipOptions.defaults())
                        .run(Files.readAllLines(script));
        Options options = new Options().withReporter(new QuietReporter());
        Approvals.verify(log, options.forFile().withBaseName("MembershipSession." + name));
    }
}
