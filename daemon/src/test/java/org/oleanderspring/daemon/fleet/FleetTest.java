package org.oleanderspring.daemon.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.oneOf;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs a fleet of real processes, and kills, pauses or disconnects some of them. */
class FleetTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    @TempDir private Path mDirectory;

    /**
     * Guards against a call that is lost, gets the response of another call or runs twice, on the
     * path through daemon, key-value service and endpoint.
     */
    @Test
    void coldCallsAndKeyedCallsAreServedOnce() throws Exception {
        try (TestFleet fleet = new TestFleet(mDirectory, 2, 2, 2, List.of())) {
            List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
            for (int number = 0; number < 8; number++) {
                calls.add(completeLater(fleet, number % 2, "model-0", "word-" + number + "-end"));
            }
            for (int number = 0; number < 8; number++) {
                HttpResponse<String> response = calls.get(number).get();
                assertThat(response.body(), response.statusCode(), is(200));
                assertThat(response.body(), containsString("word-" + number + "-end"));
            }
            List<String> key = List.of("Idempotency-Key", "turn-7");
            HttpResponse<String> first = fleet.call(0, "/v1/services/ledger/turns", "turn", key);
            HttpResponse<String> second = fleet.call(1, "/v1/services/ledger/turns", "turn", key);
            assertThat(first.body(), first.statusCode(), is(200));
            assertThat(second.body(), second.statusCode(), is(409));
            // The outcome of the first call reaches the record's owner after the response to the
            // caller, so an immediate repetition may get "unknown", but never "not_run".
            assertThat(workOf(second), is(oneOf("ran", "unknown")));
            fleet.await(
                    "the record shows that the first call ran",
                    () ->
                            workOf(fleet.call(1, "/v1/services/ledger/turns", "turn", key))
                                    .equals("ran"));
            assertThat(runsOf(fleet, "turn-7"), is(1));
        }
    }

    /**
     * Guards against a planned stop that cuts off a running stream or refuses a caller that still
     * uses a cached directory.
     */
    @Test
    void plannedStopFinishesRunningStreams() throws Exception {
        try (TestFleet fleet =
                new TestFleet(
                        mDirectory,
                        2,
                        1,
                        1,
                        List.of("--tokens", "100", "--token-delay-ms", "100"))) {
            CompletableFuture<HttpResponse<String>> stream =
                    completeLater(fleet, 0, "model-0", "long-stream-end");
            fleet.await("the stream runs", () -> fleet.engineLedger(0).path("runs").size() > 0);
            fleet.daemon(0).signal("TERM");
            fleet.await(
                    "the daemon left the directory",
                    () -> fleet.directory(1).path("entries").size() == 1);
            HttpResponse<String> late = complete(fleet, 0, "model-0", "late-call-end");
            assertThat("a caller with a cached directory is served", late.statusCode(), is(200));
            HttpResponse<String> response = stream.get();
            assertThat(response.statusCode(), is(200));
            assertThat(response.body(), containsString("t99"));
            assertThat(fleet.daemon(0).awaitExit(), is(0));
        }
    }

    /** Guards against a cell that remains without a lease holder after its holder was killed. */
    @Test
    void killedHolderIsReplaced() throws Exception {
        try (TestFleet fleet = new TestFleet(mDirectory, 3, 2, 2, List.of())) {
            assertThat(complete(fleet, 0, "model-0", "before-end").statusCode(), is(200));
            int holder = fleet.holder();
            fleet.daemon(holder).signal("KILL");
            int other = (holder + 1) % 3;
            HttpResponse<String> response = complete(fleet, other, "model-1", "after-end");
            assertThat(response.body(), response.statusCode(), is(200));
        }
    }

    /** Guards against more replicas than the limit after a paused lease holder resumes. */
    @Test
    void pausedHolderDoesNotExceedTheReplicaLimit() throws Exception {
        try (TestFleet fleet = new TestFleet(mDirectory, 3, 3, 3, List.of())) {
            assertThat(fleet.applySettings("{\"replicaLimit\":1}"), is(0));
            assertThat(complete(fleet, 0, "model-0", "before-end").statusCode(), is(200));
            int holder = fleet.holder();
            int other = (holder + 1) % 3;
            CompletableFuture<HttpResponse<String>> pendingCall =
                    completeLater(fleet, other, "model-1", "activated-end");
            fleet.daemon(holder).signal("STOP");
            HttpResponse<String> response = complete(fleet, other, "model-2", "after-end");
            assertThat(response.body(), response.statusCode(), is(200));
            assertThat(pendingCall.get().statusCode(), is(200));
            fleet.daemon(holder).signal("CONT");
            fleet.await(
                    "the resumed daemon serves again",
                    () -> complete(fleet, holder, "model-0", "resumed-end").statusCode() == 200);
            for (String model : List.of("model-0", "model-1", "model-2")) {
                assertThat(model, replicasOf(fleet, 3, model), is(lessThanOrEqualTo(1)));
            }
        }
    }

    /**
     * Guards against an outage of the key-value service that stops calls to loaded models, or that
     * lets a call with an idempotency key start without a record.
     */
    @Test
    void loadedModelsAreServedDuringKeyValueOutage() throws Exception {
        try (TestFleet fleet = new TestFleet(mDirectory, 3, 1, 1, List.of())) {
            assertThat(complete(fleet, 0, "model-0", "warm-end").statusCode(), is(200));
            fleet.await(
                    "the third daemon routes to the replica",
                    () -> complete(fleet, 2, "model-0", "warm-too-end").statusCode() == 200);
            fleet.storeFault("{\"down\":true}");
            for (int number = 0; number < 3; number++) {
                HttpResponse<String> response = complete(fleet, number, "model-0", "outage-end");
                assertThat(response.body(), response.statusCode(), is(200));
            }
            HttpResponse<String> keyedCall =
                    fleet.call(
                            0,
                            "/v1/services/ledger/turns",
                            "turn",
                            List.of("Idempotency-Key", "turn-8", "X-Deadline-Ms", "3000"));
            assertThat(keyedCall.body(), keyedCall.statusCode(), is(503));
            assertThat(workOf(keyedCall), is("not_run"));
            assertThat(runsOf(fleet, "turn-8"), is(0));
            fleet.storeFault("{\"down\":false}");
            fleet.await(
                    "calls with an idempotency key are accepted again",
                    () ->
                            fleet.call(
                                                    1,
                                                    "/v1/services/ledger/turns",
                                                    "turn",
                                                    List.of("Idempotency-Key", "turn-9"))
                                            .statusCode()
                                    == 200);
        }
    }

    /** Guards against new calls to an endpoint whose VM is leaving. */
    @Test
    void leavingVmGetsNoNewCalls() throws Exception {
        try (TestFleet fleet = new TestFleet(mDirectory, 2, 2, 1, List.of())) {
            assertThat(complete(fleet, 0, "model-0", "first-end").statusCode(), is(200));
            int servingEngine = fleet.engineLedger(0).path("runs").size() > 0 ? 0 : 1;
            ObjectNode vms = fleet.vmList();
            ((ObjectNode) vms.path("vms").get(servingEngine)).put("state", "LEAVING");
            fleet.publishVms(vms);
            fleet.await(
                    "the other runner serves",
                    () ->
                            complete(fleet, 0, "model-0", "moved-end").statusCode() == 200
                                    && fleet.engineLedger(1 - servingEngine).path("runs").size()
                                            > 0);
            int runsBefore = fleet.engineLedger(servingEngine).path("runs").size();
            for (int number = 0; number < 6; number++) {
                HttpResponse<String> response = complete(fleet, number % 2, "model-0", "later-end");
                assertThat(response.body(), response.statusCode(), is(200));
            }
            assertThat(
                    fleet.engineLedger(servingEngine).path("runs").size(), is(equalTo(runsBefore)));
        }
    }

    /** Guards against malformed input that gets no clear error or that affects other calls. */
    @Test
    void malformedInputIsRefusedAndAffectsNoOtherCall() throws Exception {
        try (TestFleet fleet = new TestFleet(mDirectory, 1, 1, 1, List.of())) {
            String path = "/v1/completions";
            checkRefusal(fleet.call(0, path, "{", List.of()), 400, "broken_json");
            checkRefusal(fleet.call(0, path, "[]", List.of()), 400, "broken_json");
            checkRefusal(fleet.call(0, path, "{\"model\":7}", List.of()), 400, "bad_field");
            String unknown = "{\"model\":\"nobody\"}";
            checkRefusal(fleet.call(0, path, unknown, List.of()), 404, "unknown_target");
            String known = "{\"model\":\"model-0\",\"prompt\":\"a\"}";
            List<String> deadline = List.of("X-Deadline-Ms", "soon");
            checkRefusal(fleet.call(0, path, known, deadline), 400, "bad_header");
            checkRefusal(fleet.call(0, "/v1/nowhere", known, List.of()), 404, "unknown_path");
            String service = "/v1/services/nobody/turns";
            checkRefusal(fleet.call(0, service, "", List.of()), 404, "unknown_target");
            String large = "x".repeat(4_194_305);
            checkRefusal(fleet.call(0, path, large, List.of()), 413, "body_too_large");
            fleet.sendGarbageToPeerPort(0);
            HttpResponse<String> response = complete(fleet, 0, "model-0", "sound-end");
            assertThat(response.body(), response.statusCode(), is(200));
        }
    }

    private static void checkRefusal(HttpResponse<String> response, int status, String type)
            throws Exception {
        assertThat(response.body(), response.statusCode(), is(status));
        assertThat(MAPPER.readTree(response.body()).path("error").path("type").asText(), is(type));
        assertThat(workOf(response), is("not_run"));
    }

    /**
     * Sends a completion call and waits for the end of the streamed response.
     *
     * @param word the last word of the prompt, which the engine echoes
     */
    private static HttpResponse<String> complete(
            TestFleet fleet, int daemon, String model, String word) throws Exception {
        String body =
                MAPPER.createObjectNode()
                        .put("model", model)
                        .put("prompt", "who holds the headgate next? " + word)
                        .put("stream", true)
                        .toString();
        return fleet.call(daemon, "/v1/completions", body, List.of("X-Deadline-Ms", "40000"));
    }

    private static CompletableFuture<HttpResponse<String>> completeLater(
            TestFleet fleet, int daemon, String model, String word) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return complete(fleet, daemon, model, word);
                    } catch (Exception failure) {
                        throw new IllegalStateException(failure);
                    }
                });
    }

    private static String workOf(HttpResponse<String> response) throws Exception {
        return MAPPER.readTree(response.body()).path("error").path("work").asText();
    }

    private static int runsOf(TestFleet fleet, String key) throws Exception {
        JsonNode ledger = fleet.serviceLedger();
        return ledger.path("runsByKey").path(key).asInt();
    }

    private static int replicasOf(TestFleet fleet, int engines, String model) throws Exception {
        int replicas = 0;
        for (int number = 0; number < engines; number++) {
            for (JsonNode loaded : fleet.engineReport(number).path("loaded")) {
                replicas += loaded.path("name").asText().equals(model) ? 1 : 0;
            }
        }
        return replicas;
    }
}
