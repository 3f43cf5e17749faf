import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A sound runner with a model engine: it holds models, and carries out one order at a time. */
class Engine extends Runner {
    /** An order as it arrived. */
    record Order(long atNanos, String runner, String holder, long token, int status) {}

    static final ConcurrentLinkedQueue<Order> ORDERS = new ConcurrentLinkedQueue<>();

    static final int MODEL_MB = 65_000;
    static final int MEMORY_MB = 200_000;
    private static final long LOAD_MILLIS = 500;
    private static final long UNLOAD_MILLIS = 60;

    private boolean mBusy;
    volatile int peakMb;

    Engine(World world, String id, String service, String zone, String ip, List<String> models)
            throws IOException {
        super(world, id, service, zone, ip, models);
    }

    @Override
    synchronized Map<String, Object> report() {
        Map<String, Object> report = super.report();
        report.put("busy", mBusy);
        return report;
    }

    @Override
    void order(Wire.Message request, OutputStream out) throws IOException {
        Map<String, Object> order = Json.object(request.text());
        String instance = request.field("Expect-Instance");
        int status = instance != null && !instance.equals(id) ? 421 : carryOut(order);
        ORDERS.add(
                new Order(
                        System.nanoTime(),
                        id,
                        String.valueOf(order.get("holder")),
                        (Long) order.get("fencingToken"),
                        status));
        World.note("order at " + id + " " + request.text() + " -> " + status);
        json(out, status, Json.map());
    }

    @Override
    synchronized int carryOut(Map<String, Object> order) {
        Object expected = order.get("expected");
        if (mBusy || expected != null && (Long) expected != seq) {
            return 409;
        }
        String model = (String) order.get("model");
        boolean load = "load".equals(order.get("operation"));
        if (load == models.contains(model)) {
            return 200;
        }
        seq++;
        mBusy = true;
        if (load) {
            peakMb = Math.max(peakMb, (models.size() + 1) * MODEL_MB);
        }
        World.thread(
                "order-" + id,
                () -> {
                    World.sleep(load ? LOAD_MILLIS : UNLOAD_MILLIS);
                    finish(model, load);
                });
        return 202;
    }

    private void finish(String model, boolean load) {
        synchronized (this) {
            if (load) {
                models.add(model);
            } else {
                models.remove(model);
            }
            mBusy = false;
        }
        register();
    }

    @Override
    void answer(Wire.Message request, Socket socket, OutputStream out) throws IOException {
        boolean held;
        synchronized (this) {
            held = models.contains(String.valueOf(request.field("Model")));
        }
        if (!held) {
            json(out, 421, Json.map());
            return;
        }
        super.answer(request, socket, out);
    }

    static Map<String, Object> service(String name, int models) {
        List<Object> list = new java.util.ArrayList<>();
        for (int number = 1; number <= models; number++) {
            list.add(
                    Json.map(
                            "name", "m" + number,
                            "weightsMb", MODEL_MB,
                            "loadS", 0.5,
                            "adapters", 0,
                            "adapterMb", 40.0,
                            "warmS", 0.38,
                            "diskS", 0.5));
        }
        Map<String, Object> service = Check.service(name, 230);
        service.put(
                "engine",
                Json.map(
                        "slots", 32,
                        "kvCapacityTokens", 116993,
                        "kvTokenBytes", 327680,
                        "linkMbps", 1100000.0,
                        "models", list,
                        "weightsMb", MEMORY_MB,
                        "adapterSlots", 8,
                        "loadsPerS", 6.8));
        return service;
    }
}
