package review;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store as PROTOCOL.md describes it; each daemon gets a port of its own. */
final class Store implements AutoCloseable {
    /** The path of one daemon to the store. */
    final class Port {
        private final Http.Server mServer;

        private Port(String ip) throws IOException {
            mServer = new Http.Server(ip, Store.this::handle);
        }

        int number() {
            return mServer.port();
        }
    }

    private record Lease(long ttlMillis, long endsAt) {}

    private final TreeMap<String, Map<String, Object>> mItems = new TreeMap<>();
    private final List<Map<String, Object>> mHistory = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final List<Port> mPorts = new ArrayList<>();
    private long mRevision = 100;
    private long mNextLease = 1;

    Store() {
        Http.thread(
                "leases",
                () -> {
                    while (true) {
                        Thread.sleep(20);
                        expire();
                    }
                });
    }

    synchronized Port open(String ip) throws IOException {
        Port port = new Port(ip);
        mPorts.add(port);
        return port;
    }

    synchronized void put(String key, String text) {
        mRevision++;
        write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void remove(String key) {
        mRevision++;
        delete(key);
    }

    private void handle(Http.Exchange exchange) throws Exception {
        String target = exchange.request.target();
        String path = target.contains("?") ? target.substring(0, target.indexOf('?')) : target;
        Map<String, String> query = query(target);
        if (path.equals("/kv-watch")) {
            watch(exchange, query);
            return;
        }
        int status;
        Map<String, Object> answer;
        synchronized (this) {
            answer = new LinkedHashMap<>();
            status = answer(path, query, exchange.request, answer);
        }
        exchange.json(status, answer);
    }

    private int answer(
            String path, Map<String, String> query, Http.Message request, Map<String, Object> answer) {
        if (path.equals("/kv-key")) {
            Map<String, Object> item = mItems.get(query.get("key"));
            if (item == null) {
                return 404;
            }
            answer.putAll(item);
            answer.put("storeRevision", mRevision);
            return 200;
        }
        if (path.equals("/kv-range")) {
            List<Object> items = new ArrayList<>();
            mItems.forEach(
                    (key, item) -> {
                        if (key.startsWith(query.get("prefix"))) {
                            items.add(item);
                        }
                    });
            answer.put("items", items);
            answer.put("morePages", false);
            answer.put("storeRevision", mRevision);
            return 200;
        }
        if (path.equals("/kv-txn")) {
            return transaction(Json.object(request.text()), answer);
        }
        if (path.equals("/kv-lease")) {
            long ttl = Json.number(Json.object(request.text()), "ttlMs", 0);
            mLeases.put(mNextLease, new Lease(ttl, System.currentTimeMillis() + ttl));
            answer.put("lease", mNextLease++);
            answer.put("ttlMs", ttl);
            return 200;
        }
        long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        if (path.startsWith("/kv-lease-end/")) {
            end(lease);
            return 200;
        }
        Lease current = mLeases.get(lease);
        if (current == null) {
            return 404;
        }
        mLeases.put(lease, new Lease(current.ttlMillis(), System.currentTimeMillis() + current.ttlMillis()));
        answer.put("ttlMs", current.ttlMillis());
        return 200;
    }

    @SuppressWarnings("unchecked")
    private int transaction(Map<String, Object> transaction, Map<String, Object> answer) {
        List<Map<String, Object>> expected = (List<Map<String, Object>>) transaction.get("expected");
        List<Map<String, Object>> writes = (List<Map<String, Object>>) transaction.get("writes");
        List<String> deletes = (List<String>) transaction.get("delete");
        boolean holds = true;
        List<Object> items = new ArrayList<>();
        for (Map<String, Object> row : expected) {
            Map<String, Object> item = mItems.get(row.get("key"));
            long revision = item == null ? 0 : Json.number(item, "revision", 0);
            holds &= revision == Json.number(row, "revision", -1);
            if (item != null) {
                items.add(item);
            }
        }
        if (!holds) {
            answer.put("items", items);
            return 412;
        }
        for (Map<String, Object> write : writes) {
            long lease = Json.number(write, "lease", 0);
            if (lease != 0 && !mLeases.containsKey(lease)) {
                return 404;
            }
        }
        mRevision++;
        writes.forEach(
                write ->
                        write(
                                (String) write.get("key"),
                                (String) write.get("value"),
                                Json.number(write, "lease", 0)));
        deletes.forEach(this::delete);
        answer.put("revision", mRevision);
        return 200;
    }

    private void write(String key, String value, long lease) {
        Map<String, Object> before = mItems.get(key);
        long created = before == null ? mRevision : Json.number(before, "created", mRevision);
        Map<String, Object> item =
                Json.map(
                        "key", key, "value", value, "revision", mRevision, "created", created, "lease", lease);
        mItems.put(key, item);
        changed(item);
    }

    private void delete(String key) {
        if (mItems.remove(key) != null) {
            changed(Json.map("key", key, "revision", mRevision, "tombstone", true));
        }
    }

    private void changed(Map<String, Object> event) {
        mHistory.add(event);
        notifyAll();
    }

    private synchronized void expire() {
        long now = System.currentTimeMillis();
        List<Long> ended = new ArrayList<>();
        mLeases.forEach(
                (id, lease) -> {
                    if (lease.endsAt() <= now) {
                        ended.add(id);
                    }
                });
        ended.forEach(this::end);
    }

    private void end(long lease) {
        mLeases.remove(lease);
        List<String> keys = new ArrayList<>();
        mItems.forEach(
                (key, item) -> {
                    if (Json.number(item, "lease", 0) == lease) {
                        keys.add(key);
                    }
                });
        for (String key : keys) {
            mRevision++;
            delete(key);
        }
    }

    private void watch(Http.Exchange exchange, Map<String, String> query) throws Exception {
        long after = Long.parseLong(query.get("after"));
        long until = System.currentTimeMillis() + Long.parseLong(query.get("waitMs"));
        Map<String, Object> answer = new LinkedHashMap<>();
        synchronized (this) {
            List<Object> events = new ArrayList<>();
            while (true) {
                for (Map<String, Object> event : mHistory) {
                    if (Json.number(event, "revision", 0) > after
                            && ((String) event.get("key")).startsWith(query.get("prefix"))) {
                        events.add(event);
                    }
                }
                long left = until - System.currentTimeMillis();
                if (!events.isEmpty() || left <= 0) {
                    answer.put("events", events);
                    answer.put("storeRevision", mRevision);
                    break;
                }
                wait(left);
            }
        }
        exchange.json(200, answer);
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int start = target.indexOf('?');
        if (start >= 0) {
            for (String part : target.substring(start + 1).split("&")) {
                int equals = part.indexOf('=');
                query.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    @Override
    public void close() throws IOException {
        for (Port port : mPorts) {
            port.mServer.close();
        }
    }
}
