package org.oleanderspring.standin.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.standin.http.ChunkWriter;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.http.ResourceServer;
import org.oleanderspring.standin.http.Routes;

/**
 * A simulated runner that speaks the protocol of the hosted platform. Thread-safe.
 *
 * <p>The response to a request with the header {@code Model} is a stream of 8 events, to any other
 * request a short document. The header {@code Last-Event-Id} resumes a stream after that event. A
 * request for another instance or for a model that is not loaded gets status 421. The attempts of
 * the requests that were executed are recorded.
 *
 * <p>Orders load or unload one model at a time. An order gets status 409 while another one is being
 * executed, or if its field {@code expected} differs from the number of accepted orders, which the
 * report shows as {@code seq}.
 */
public final class HostedRunnerStandin implements AutoCloseable {
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int CONFLICT = 409;
    private static final int MISDIRECTED_REQUEST = 421;
    private static final int EVENTS_PER_STREAM = 8;
    private static final long EVENT_INTERVAL_MILLIS = 30;
    private static final long ORDER_DURATION_MILLIS = 150;

    private final String mInstance;
    private final String mService;
    private final Set<String> mModels = new TreeSet<>();
    private final List<String> mExecutedAttempts = new ArrayList<>();
    private final List<String> mExecutedCallers = new ArrayList<>();
    private final AtomicInteger mClientClosedStreams = new AtomicInteger();
    private final ScheduledExecutorService mTimer =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "hosted-runner");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final ResourceServer mServer;
    private int mOrderCount;
    private boolean mBusy;
    private int mAbortStreamAfter = Integer.MAX_VALUE;
    private @Nullable String mDeadlyPart;
    private boolean mHoldsStreams;
    private int mHeldStreams;
    private boolean mCrashed;
    private boolean mLeaving;
    private @Nullable String mLimit;

    /**
     * Starts a runner on a free port, which accepts requests at once.
     *
     * @param ip the IP address to listen on
     * @param instance the instance ID of the runner
     * @param service the name of the service that the runner belongs to
     * @param models the names of the initially loaded models
     */
    public HostedRunnerStandin(String ip, String instance, String service, List<String> models) {
        mInstance = instance;
        mService = service;
        mModels.addAll(models);
        Routes routes =
                new Routes()
                        .add("GET", "/report", this::handleReport)
                        .add("POST", "/order", this::handleOrder)
                        .add("*", "/*", this::handleCall);
        mServer = new ResourceServer("hosted-runner", ip, 0, routes);
        mServer.start();
    }

    /** Returns the port that the runner listens on. */
    public int port() {
        return mServer.port();
    }

    /**
     * Returns the JSON document by which the runner is registered in the key-value service.
     *
     * @param ip the IP address at which the runner can be reached
     * @param state the state of the runner, such as {@code ready} or {@code draining}
     */
    public synchronized String registryEntry(String ip, String state) {
        ObjectNode entry = Json.object();
        entry.put("service", mService)
                .put("address", ip + ":" + port())
                .put("zone", "east")
                .put("version", "v1")
                .put("slots", 4)
                .put("state", state)
                .put("seq", 1)
                .put("born", 1);
        addModels(entry.putArray("models"));
        addAvailable(entry);
        return Json.write(entry);
    }

    /**
     * Makes the runner abort the next stream that reaches a number of events, once.
     *
     * @param events the number of complete events; the stream is aborted within the following one
     */
    public synchronized void abortStreamAfter(int events) {
        mAbortStreamAfter = events;
    }

    /**
     * Makes the runner crash when it begins to answer a request whose prompt has a part.
     *
     * @param part the identity of the part
     */
    public synchronized void crashOnPart(String part) {
        mDeadlyPart = part;
    }

    /** Makes the runner say in all its responses that it leaves; it goes on serving. */
    public synchronized void leave() {
        mLeaving = true;
    }

    /**
     * Sets the limit that the runner names in all its responses; it serves all requests anyway.
     *
     * @param limit the number of requests a second, or any other text; null for none
     */
    public synchronized void limit(@Nullable String limit) {
        mLimit = limit;
    }

    private synchronized void addStatements(Exchange exchange) {
        if (mLimit != null) {
            exchange.withHeader("Server-Limit", mLimit);
        }
        if (mLeaving) {
            exchange.withHeader("Server-Leaving", "1");
        }
    }

    /** Makes the runner stop each stream after its first event, without an end. */
    public synchronized void holdStreams() {
        mHoldsStreams = true;
    }

    /** Returns the number of streams that were stopped by {@link #holdStreams}. */
    public synchronized int heldStreams() {
        return mHeldStreams;
    }

    /** Returns whether the runner has crashed. */
    public synchronized boolean hasCrashed() {
        return mCrashed;
    }

    /** Refuses new connections; open ones go on. */
    public void closePort() {
        mServer.closePort();
    }

    /** Ends the runner: its connections and its port are closed. */
    public void crash() {
        synchronized (this) {
            if (mCrashed) {
                return;
            }
            mCrashed = true;
        }
        mServer.close();
    }

    private synchronized boolean isDeadly(Exchange exchange) {
        String prompt = exchange.header("Prompt-Prefix");
        return mDeadlyPart != null && prompt != null && prompt.contains(mDeadlyPart + ":");
    }

    /**
     * Returns what the executed requests said about their callers, such as {@code org-1 key=null}:
     * the organisation and the API key.
     */
    public synchronized List<String> executedCallers() {
        return List.copyOf(mExecutedCallers);
    }

    /**
     * Returns the {@code Attempt-Id} of each executed request, in the order of execution; the text
     * {@code null} for a request without one.
     */
    public synchronized List<String> executedAttempts() {
        return List.copyOf(mExecutedAttempts);
    }

    /** Returns the number of streams that the client closed before their end. */
    public int clientClosedStreams() {
        return mClientClosedStreams.get();
    }

    private synchronized void handleReport(Exchange exchange) {
        ObjectNode report = Json.object();
        report.put("busy", mBusy).put("seq", mOrderCount).put("queued", 0).put("active", 0);
        addModels(report.putArray("models"));
        addAvailable(report);
        addStatements(exchange);
        exchange.reply(OK, report);
    }

    private void addModels(ArrayNode array) {
        for (String model : mModels) {
            array.addObject().put("name", model).put("version", 1).putArray("adapters");
        }
    }

    private static void addAvailable(ObjectNode document) {
        ObjectNode available = document.putObject("available");
        available.putArray("inMemory");
        available.putArray("onDisk");
    }

    private synchronized void handleOrder(Exchange exchange) {
        JsonNode order = exchange.json();
        addStatements(exchange);
        if (mBusy || order.path("expected").asInt(mOrderCount) != mOrderCount) {
            exchange.reply(CONFLICT, Json.object());
            return;
        }
        String model = order.path("model").asText();
        boolean load = order.path("operation").asText().equals("load");
        mOrderCount++;
        mBusy = true;
        mTimer.schedule(
                () -> completeOrder(model, load), ORDER_DURATION_MILLIS, TimeUnit.MILLISECONDS);
        exchange.reply(ACCEPTED, Json.object());
    }

    private synchronized void completeOrder(String model, boolean load) {
        mBusy = false;
        if (load) {
            mModels.add(model);
        } else {
            mModels.remove(model);
        }
    }

    private void handleCall(Exchange exchange) {
        String instance = exchange.header("Expect-Instance");
        String model = exchange.header("Model");
        exchange.withHeader("Attempt-Id", String.valueOf(exchange.header("Attempt-Id")));
        addStatements(exchange);
        synchronized (this) {
            boolean otherInstance = instance != null && !instance.equals(mInstance);
            if (otherInstance || model != null && !mModels.contains(model)) {
                exchange.withHeader("Instance-Id", mInstance);
                exchange.replyError(MISDIRECTED_REQUEST, "misdirected", "not here");
                return;
            }
            mExecutedAttempts.add(String.valueOf(exchange.header("Attempt-Id")));
            mExecutedCallers.add(exchange.header("Tenant") + " key=" + exchange.header("Api-Key"));
        }
        exchange.withHeader("Server-Seal", "sealed-by-" + mInstance);
        if (model == null) {
            exchange.reply(OK, Json.object().put("from", mInstance).put("path", exchange.path()));
            return;
        }
        startStream(exchange);
    }

    private void startStream(Exchange exchange) {
        String lastEventId = exchange.header("Last-Event-Id");
        AtomicInteger nextNumber =
                new AtomicInteger(lastEventId == null ? 1 : Integer.parseInt(lastEventId) + 1);
        ChunkWriter writer = exchange.stream("text/event-stream");
        if (isDeadly(exchange)) {
            writer.send("id: 1\nda");
            mTimer.schedule(this::crash, EVENT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        AtomicReference<@Nullable ScheduledFuture<?>> task = new AtomicReference<>();
        task.set(
                mTimer.scheduleAtFixedRate(
                        () -> {
                            if (!sendEvent(writer, nextNumber.getAndIncrement())) {
                                ScheduledFuture<?> running = task.get();
                                if (running != null) {
                                    running.cancel(false);
                                }
                            }
                        },
                        EVENT_INTERVAL_MILLIS,
                        EVENT_INTERVAL_MILLIS,
                        TimeUnit.MILLISECONDS));
    }

    /** Sends the next event; returns whether more events follow. */
    private synchronized boolean sendEvent(ChunkWriter writer, int number) {
        if (writer.isClosed()) {
            mClientClosedStreams.incrementAndGet();
            return false;
        }
        if (mHoldsStreams && number > 1) {
            mHeldStreams++;
            return false;
        }
        if (number > EVENTS_PER_STREAM) {
            writer.end();
            return false;
        }
        if (number > mAbortStreamAfter) {
            mAbortStreamAfter = Integer.MAX_VALUE;
            // Sent some time before the abort, so that the client receives the incomplete event.
            writer.send("id: " + number + "\nda");
            mTimer.schedule(writer::abort, EVENT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            return false;
        }
        writer.send("id: " + number + "\ndata: piece " + number + "\n\n");
        return true;
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        mServer.close();
    }
}
