package org.oleanderspring.daemon.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.oleanderspring.daemon.Oleanderspring;
import picocli.CommandLine;

/** Guards against a configuration with a fault that is only seen once it is in force. */
class ConfigurationCheckTest {
    private static final String SOUND =
            """
            {"version":3,"routes":[
              {"name":"r1","host":"a","prefix":"/one/","routeType":"safe","timeoutMs":900,
               "targetLatencyMs":300,"priority":1,"service":"lm","maxAttempts":2}],
             "services":[{"name":"lm","healthPath":"/h","maxConnections":9,
               "engine":{"slots":4,"kvCapacityTokens":1000,"weightsMb":100,"adapterSlots":2,
                 "loadsPerS":5,"models":[{"name":"m1","weightsMb":40,"loadS":1,
                   "adapters":2,"adapterMb":4}]}}]}
            """;

    @TempDir private Path mFolder;
    private final StringWriter mOut = new StringWriter();
    private final StringWriter mErrors = new StringWriter();

    private Path file(String name, byte[] content) throws IOException {
        return Files.write(mFolder.resolve(name), content);
    }

    private Path file(String name, String content) throws IOException {
        return file(name, content.getBytes(StandardCharsets.UTF_8));
    }

    private int check(String... arguments) {
        String[] all = new String[arguments.length + 2];
        all[0] = "configuration";
        all[1] = "check";
        System.arraycopy(arguments, 0, all, 2, arguments.length);
        CommandLine command = Oleanderspring.commandLine();
        command.setOut(new PrintWriter(mOut, true));
        command.setErr(new PrintWriter(mErrors, true));
        return command.execute(all);
    }

    @Test
    void soundConfigurationHasNoFinding() throws IOException {
        assertThat(check(file("new", SOUND).toString()), is(0));
        assertThat(mOut.toString(), is(""));
    }

    /** Each row changes one text of the sound configuration. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '~',
            value = {
                "\"maxAttempts\":2}] | \"maxAttempts\":2},{\"name\":\"r2\",\"host\":\"A:80\","
                        + "\"prefix\":\"/one/\",\"routeType\":\"safe\",\"timeoutMs\":9,"
                        + "\"service\":\"lm\"}] | 1 | route r2 never matches: r1",
                "\"service\":\"lm\" | \"service\":\"other\" | 2 | unknown service other",
                "\"service\":\"lm\" | \"service\":\"other\" | 2 | no route leads to service lm",
                "\"timeoutMs\":900 | \"timeoutMs\":200 | 1 | before its objective of 300 ms",
                "\"routeType\":\"safe\" | \"routeType\":\"unsafe\" | 1 | may run only once",
                "\"weightsMb\":40 | \"weightsMb\":140 | 2 | has 140.0 MB; an engine holds 100.0",
                "\"adapterSlots\":2 | \"adapterSlots\":0 | 2 | adapters that no engine can hold",
                "\"prefix\":\"/one/\" | \"prefix\":\"one\" | 2 | malformed",
            })
    void faultIsFound(String text, String replacement, int exitCode, String finding)
            throws IOException {
        int code = check(file("new", SOUND.replace(text, replacement)).toString());
        assertThat(mOut.toString(), containsString(finding));
        assertThat(code, is(exitCode));
    }

    /** Guards against long output, traces and waits for files that are no configuration. */
    @Test
    void fileThatIsNoConfigurationHasOneLine() throws IOException {
        byte[] latin = {'{', '"', (byte) 0xe6, '"', ':', '1', '}'};
        Path[] files = {
            file("empty", ""),
            file("large", new byte[100 << 20]),
            file("encoding", latin),
            file("deep", "[".repeat(100_000)),
            file("deep-object", "{\"a\":".repeat(100_000)),
            file("text", "version: 3\nroutes: []\n")
        };
        for (Path file : files) {
            mOut.getBuffer().setLength(0);
            assertThat(file.toString(), check(file.toString()), is(2));
            assertThat(mOut.toString(), mOut.toString().lines().count(), is(1L));
        }
        assertThat(check(mFolder.resolve("missing").toString()), is(2));
        assertThat(mErrors.toString(), containsString("a readable file"));
    }

    @Test
    void differencesAreShownByMeaning() throws IOException {
        Path before = file("before", SOUND);
        String next = SOUND.replace("\"version\":3", "\"version\":4").replace("900", "1200");
        Path after = file("after", next.replace("\n", " "));
        assertThat(check(after.toString(), "--against", before.toString()), is(0));
        assertThat(mOut.toString().strip(), is("change: route r1: timeout PT0.9S to PT1.2S"));
    }

    @Test
    void versionThatDaemonsIgnoreIsAnError() throws IOException {
        Path file = file("new", SOUND);
        assertThat(check(file.toString(), "--against", file.toString(), "--format", "json"), is(2));
        assertThat(mOut.toString(), containsString("\"number\":152"));
        assertThat(mOut.toString(), not(containsString("change:")));
    }
}
