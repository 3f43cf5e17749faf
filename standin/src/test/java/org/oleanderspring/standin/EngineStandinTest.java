package org.oleanderspring.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.oleanderspring.standin.engine.EngineOptions;
import org.oleanderspring.standin.engine.EngineStandin;
import org.oleanderspring.standin.engine.SimulatedLoadTimes;
import org.oleanderspring.standin.engine.command.WeightStoreClient;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.weightstore.WeightStoreOptions;
import org.oleanderspring.standin.weightstore.WeightStoreStandin;

/**
 * Checks the ledger and the limits of the simulated engine: other tests rely on both, so an error
 * in them would hide errors of the tested code.
 */
class EngineStandinTest {
    private static final String IP = "127.0.0.1";
    private static final Duration FAST = Duration.ofMillis(1);

    /** Of the engine's 100 MB, m1 leaves room for m3 but not for m2. */
    private static final String CATALOGUE =
            "{\"checkpoints\":["
                    + "{\"name\":\"m1\",\"version\":\"v1\",\"memoryMegabytes\":60},"
                    + "{\"name\":\"m2\",\"version\":\"v1\",\"memoryMegabytes\":60},"
                    + "{\"name\":\"m3\",\"version\":\"v1\",\"memoryMegabytes\":40},"
                    + "{\"name\":\"a1\",\"base\":\"m1\",\"version\":\"v1\","
                    + "\"memoryMegabytes\":1}]}";

    private final HttpClient mClient = new HttpClient();
    private final CountDownLatch mCrash = new CountDownLatch(1);
    private WeightStoreStandin mStore;
    private WeightStoreClient mStoreClient;
    private EngineStandin mEngine;

    @BeforeEach
    void start() throws Exception {
        mClient.start();
        JsonNode catalogue = json(CATALOGUE);
        // One start of a model download per second.
        mStore = new WeightStoreStandin(IP, 0, new WeightStoreOptions(1, 4, 30), catalogue);
        mStore.start();
        mStoreClient = new WeightStoreClient(IP + ":" + mStore.port());
        // 100 MB, one call at a time, 4 waiting calls, 10 tokens at intervals of 5 ms, no lag.
        EngineOptions options =
                new EngineOptions(
                        "r1",
                        100,
                        1,
                        4,
                        10,
                        Duration.ofMillis(5),
                        Duration.ZERO,
                        new SimulatedLoadTimes(FAST, FAST, FAST, FAST, FAST),
                        Duration.ZERO,
                        false);
        mEngine =
                new EngineStandin(
                        IP, 0, options, mStoreClient.catalogue(), mStoreClient, mCrash::countDown);
        mEngine.start();
    }

    @AfterEach
    void stop() throws Exception {
        mEngine.close();
        mStoreClient.close();
        mStore.close();
        mClient.stop();
    }

    private static JsonNode json(String text) {
        return Json.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    private Request request(int port, String method, String path, String body) {
        return mClient.newRequest(IP, port)
                .method(method)
                .path(path)
                .body(new StringRequestContent("application/json", body));
    }

    private JsonNode send(String method, String path, String body) throws Exception {
        return json(request(mEngine.port(), method, path, body).send().getContentAsString());
    }

    private int sendOrder(String id, String kind, String subject) throws Exception {
        String body =
                "{\"id\":\"%s\",\"kind\":\"%s\",\"subject\":\"%s\",\"version\":\"v1\",\"token\":1}"
                        .formatted(id, kind, subject);
        return request(mEngine.port(), "POST", "/orders", body).send().getStatus();
    }

    private JsonNode await(String path, Predicate<JsonNode> condition) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < deadline) {
            JsonNode document = send("GET", path, "");
            if (condition.test(document)) {
                return document;
            }
            TimeUnit.MILLISECONDS.sleep(10);
        }
        throw new AssertionError("condition not met within 20 s by the response to GET " + path);
    }

    /** Sends an order that has to be accepted, and waits until the report lists it as ended. */
    private void executeOrder(String id, String kind, String subject) throws Exception {
        assertThat(sendOrder(id, kind, subject), is(202));
        awaitEnd(id);
    }

    private void awaitEnd(String id) throws Exception {
        await("/report", report -> report.path("endedOrders").toString().contains(id));
    }

    private CompletableFuture<ContentResponse> sendCompletion(String attempt, int priority) {
        Request request =
                request(
                        mEngine.port(),
                        "POST",
                        "/v1/completions",
                        "{\"model\":\"m1\",\"prompt\":\"p\",\"stream\":true}");
        request.headers(fields -> fields.put("X-Attempt-Id", attempt));
        request.headers(fields -> fields.put("X-Priority", priority));
        return new CompletableResponseListener(request).send();
    }

    private static List<String> attemptIds(JsonNode runs) {
        List<String> ids = new ArrayList<>();
        runs.forEach(run -> ids.add(run.path("attempt").asText()));
        return ids;
    }

    /** An engine that exceeded its memory would hide a planner that plans beyond the memory. */
    @Test
    void loadBeyondTheMemoryIsRefused() throws Exception {
        executeOrder("o1", "LOAD_MODEL", "m1");
        assertThat(sendOrder("o2", "LOAD_MODEL", "m2"), is(409));
        assertThat(sendOrder("o3", "LOAD_MODEL", "m3"), is(202));
        JsonNode ledger = send("GET", "/ledger", "");
        assertThat(ledger.path("peakMemoryMegabytes").asInt(), is(100));
        assertThat(ledger.path("orders").path(1).path("result").asText(), equalTo("NO_MEMORY"));
    }

    /** A model load beyond the limit of starts per second waits for a permit and does not fail. */
    @Test
    void refusedDownloadIsRetried() throws Exception {
        executeOrder("o1", "LOAD_MODEL", "m1");
        executeOrder("o2", "LOAD_MODEL", "m3");
        String ledger = request(mStore.port(), "GET", "/ledger", "").send().getContentAsString();
        assertThat(json(ledger).path("refused").asInt(), greaterThan(0));
        assertThat(json(ledger).path("started").asInt(), is(2));
    }

    /** An order that is sent again after a lost reply must not be executed twice. */
    @Test
    void repeatedOrderHasNoEffect() throws Exception {
        executeOrder("o1", "LOAD_MODEL", "m1");
        executeOrder("o2", "UNLOAD_MODEL", "m1");
        assertThat(sendOrder("o1", "LOAD_MODEL", "m1"), is(202));
        assertThat(send("GET", "/report", "").path("loaded").size(), is(0));
    }

    /** The unload of a model removes its adapters; the ledger shows the calls that it aborted. */
    @Test
    void unloadAbortsRunningCallsAndRemovesAdapters() throws Exception {
        executeOrder("o1", "LOAD_MODEL", "m1");
        executeOrder("o2", "LOAD_ADAPTER", "a1");
        send("POST", "/faults", "{\"slowMillis\":1000}");
        CompletableFuture<ContentResponse> aborted = sendCompletion("x1", 0);
        await("/ledger", ledger -> ledger.path("runs").size() == 1);
        executeOrder("o3", "UNLOAD_MODEL", "m1");
        assertThat(send("GET", "/report", "").path("loaded").size(), is(0));
        JsonNode run = send("GET", "/ledger", "").path("runs").path(0);
        assertThat(run.path("state").asText(), equalTo("CUT"));
        assertThat(aborted.handle((response, failure) -> failure != null).get(), is(true));
    }

    /** Waiting calls start in the order of their priority, one at a time. */
    @Test
    void waitingCallsStartByPriority() throws Exception {
        executeOrder("o1", "LOAD_MODEL", "m1");
        send("POST", "/faults", "{\"slowMillis\":100}");
        List<CompletableFuture<ContentResponse>> calls = new ArrayList<>();
        calls.add(sendCompletion("first", 0));
        await("/ledger", ledger -> ledger.path("runs").size() == 1);
        calls.add(sendCompletion("low", 1));
        calls.add(sendCompletion("high", 2));
        await("/ledger", ledger -> ledger.path("waiting").asInt() == 2);
        for (CompletableFuture<ContentResponse> call : calls) {
            assertThat(call.get(20, TimeUnit.SECONDS).getStatus(), is(200));
        }
        List<String> started = attemptIds(send("GET", "/ledger", "").path("runs"));
        assertThat(started, equalTo(List.of("first", "high", "low")));
    }

    /** A resumed stream contains exactly the tokens from the requested index on. */
    @Test
    void resumedStreamContinuesAtTheGivenToken() throws Exception {
        executeOrder("o1", "LOAD_MODEL", "m1");
        String whole = sendCompletion("x1", 0).get(20, TimeUnit.SECONDS).getContentAsString();
        String rest =
                request(mEngine.port(), "GET", "/v1/attempts/x1/stream?from=4", "")
                        .send()
                        .getContentAsString();
        assertThat(whole.endsWith(rest), is(true));
        assertThat(rest.substring(0, rest.indexOf("\n\n")), containsString("\" t4\""));
    }

    /**
     * A failed load ends its order. If it kept its memory, later loads would be rejected for lack
     * of memory.
     */
    @Test
    void failedLoadFreesItsMemory() throws Exception {
        send("POST", "/faults", "{\"failLoads\":1}");
        executeOrder("o1", "LOAD_MODEL", "m1");
        assertThat(send("GET", "/ledger", "").path("usedMegabytes").asInt(), is(0));
    }

    /** The crash fault runs the crash action when a load has ended. */
    @Test
    void engineCrashesAfterTheLoad() throws Exception {
        send("POST", "/faults", "{\"crashAfterNextLoad\":true}");
        executeOrder("o1", "LOAD_MODEL", "m1");
        assertThat(mCrash.await(20, TimeUnit.SECONDS), is(true));
    }
}
