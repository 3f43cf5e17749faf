package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.Set;

/**
 * A runner as PROTOCOL.md describes it. It registers in the store, carries out orders, and answers
 * requests in the way that the script gives.
 */
final class Runner implements AutoCloseable {
    /** Answers a request that the runner runs. */
    interface Answer {
        void answer(Runner runner, Http.Exchange exchange) throws Exception;
    }

    final String id;
    private final String mService;
    private final int mSlots;
    private final Store mStore;
    private final Record mRecord;
    private final Answer mAnswer;
    private final Http.Server mServer;
    private final long mBorn = System.currentTimeMillis();
    private final TreeMap<String, Set<String>> mModels = new TreeMap<>();
    private final Set<String> mOnDisk = new TreeSet<>();
    private int mActive;
    private long mSeq;
    private long mBeat;
    private boolean mBusy;
    private volatile boolean mCrashed;
    private String mState = "ready";

    /** The zone in which it runs. */
    volatile String zone = "zone-a";

    /** How long a load and an unload take. */
    int loadMillis = 300;

    /** Whether the models belong to an engine. */
    private final boolean mHasEngine;

    Runner(String id, String service, int slots, List<String> models, Store store, Record record, Answer answer)
            throws IOException {
        this.id = id;
        mService = service;
        mSlots = slots;
        mStore = store;
        mRecord = record;
        mAnswer = answer;
        mHasEngine = models != null;
        if (models != null) {
            models.forEach(model -> mModels.put(model, new TreeSet<>()));
        }
        mServer = new Http.Server("127.0.0.1", this::handle);
        register();
        Http.thread(
                "beat",
                () -> {
                    while (!mCrashed) {
                        Thread.sleep(1_200);
                        register();
                    }
                });
    }

    /** Ends the runner at once; its entry is removed after three intervals of silence. */
    void crash() throws IOException {
        mCrashed = true;
        mServer.close();
        mRecord.line("crash runner=" + id);
        Http.thread(
                "silence",
                () -> {
                    Thread.sleep(3_600);
                    mStore.remove("servers/" + id);
                });
    }

    int port() {
        return mServer.port();
    }

    /** Adds weights to the copies on the runner's disk. */
    synchronized void onDisk(List<String> models) {
        mOnDisk.addAll(models);
        register();
    }

    private void register() {
        if (mCrashed) {
            return;
        }
        Map<String, Object> entry;
        synchronized (this) {
            entry =
                    Json.map(
                            "service", mService,
                            "address", "127.0.0.1:" + mServer.port(),
                            "zone", zone,
                            "version", "v1",
                            "slots", mSlots,
                            "state", mState,
                            "coldRemainingMs", 0,
                            "born", mBorn,
                            "seq", ++mBeat);
            if (mHasEngine) {
                addModels(entry);
            }
        }
        mStore.put("servers/" + id, Json.write(entry));
    }

    private void addModels(Map<String, Object> document) {
        List<Object> models = new ArrayList<>();
        mModels.forEach(
                (name, adapters) ->
                        models.add(Json.map("name", name, "version", 1, "adapters", new ArrayList<>(adapters))));
        document.put("models", models);
        document.put("stage", "both");
        document.put("available", Json.map("inMemory", List.of(), "onDisk", new ArrayList<>(mOnDisk)));
    }

    private void handle(Http.Exchange exchange) throws Exception {
        String target = exchange.request.target();
        if (target.equals("/report")) {
            Map<String, Object> report = new LinkedHashMap<>();
            synchronized (this) {
                addModels(report);
                report.put("busy", mBusy);
                report.put("seq", mSeq);
                report.put("queued", 0);
                report.put("active", mActive);
                report.put("kvUsed", 0);
                report.put("kvTotal", 100_000);
                report.put("handles", 0);
            }
            exchange.json(200, report);
            return;
        }
        String expected = exchange.request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            exchange.reply(421, Map.of("Instance-Id", id, "Not-Executed", "1"), new byte[0]);
            return;
        }
        if (target.equals("/order")) {
            order(exchange);
            return;
        }
        run(exchange);
    }

    private void order(Http.Exchange exchange) throws IOException {
        Map<String, Object> order = Json.object(exchange.request.text());
        int status = 202;
        synchronized (this) {
            long count = Json.number(order, "expected", mSeq);
            String model = (String) order.get("model");
            boolean load = "load".equals(order.get("operation"));
            if (mBusy || count != mSeq) {
                status = 409;
            } else if (load == mModels.containsKey(model)) {
                status = 200;
            } else {
                mSeq++;
                mBusy = true;
                Http.thread(
                        "order",
                        () -> {
                            Thread.sleep(loadMillis);
                            complete(model, load);
                        });
            }
        }
        mRecord.line("order runner=" + id + " status=" + status + " " + Json.write(order));
        exchange.json(status, Json.map());
    }

    private void complete(String model, boolean load) {
        synchronized (this) {
            mBusy = false;
            if (load) {
                mModels.put(model, new TreeSet<>());
                mOnDisk.add(model);
            } else {
                mModels.remove(model);
            }
        }
        register();
    }

    private void run(Http.Exchange exchange) throws Exception {
        Http.Message request = exchange.request;
        String attempt = request.header("Attempt-Id");
        String model = request.header("Model");
        synchronized (this) {
            if (mHasEngine && !holds(model)) {
                exchange.reply(421, Map.of("Instance-Id", id, "Not-Executed", "1", "Attempt-Id", attempt), new byte[0]);
                return;
            }
            mActive++;
        }
        mRecord.line(
                "run runner=" + id + " attempt=" + attempt + " " + request.startLine()
                        + " body=" + request.body().length + " deadline-ms=" + request.header("Deadline-Ms"));
        try {
            mAnswer.answer(this, exchange);
        } finally {
            synchronized (this) {
                mActive--;
            }
        }
    }

    private boolean holds(String model) {
        int slash = model.indexOf('/');
        Set<String> adapters = mModels.get(slash < 0 ? model : model.substring(0, slash));
        return adapters != null && (slash < 0 || adapters.contains(model.substring(slash + 1)));
    }

    /** Answers with a short body after a time. */
    static Answer after(int millis) {
        return (runner, exchange) -> {
            Thread.sleep(millis);
            String attempt = exchange.request.header("Attempt-Id");
            exchange.reply(200, seal(runner, attempt), ("done " + attempt).getBytes());
        };
    }

    /** Answers with a stream of events. */
    static Answer stream(int events, int gapMillis) {
        return (runner, exchange) -> {
            String attempt = exchange.request.header("Attempt-Id");
            Map<String, String> headers = seal(runner, attempt);
            headers.put("Content-Type", "text/event-stream");
            exchange.beginChunks(200, headers);
            for (int event = 1; event <= events; event++) {
                Thread.sleep(gapMillis);
                exchange.chunk("id: " + event + "\ndata: piece " + event + " of " + attempt + "\n\n");
            }
            exchange.endChunks();
        };
    }

    static Map<String, String> seal(Runner runner, String attempt) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Attempt-Id", attempt);
        headers.put("Server-Seal", "seal." + runner.id + "." + attempt);
        return headers;
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}
