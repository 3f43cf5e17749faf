package org.oleanderspring.standin.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.http.ResourceServer;
import org.oleanderspring.standin.http.Routes;

/** A metadata store that speaks the hosted platform's protocol and can be taken down. */
public final class HostedStoreStandin implements AutoCloseable {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int CONDITION_FAILED = 412;
    private static final int UNAVAILABLE = 503;
    private static final long TICK_MILLIS = 20;

    private final TreeMap<String, HostedItem> mItems = new TreeMap<>();
    private final List<ObjectNode> mHistory = new ArrayList<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final List<Watch> mWatches = new ArrayList<>();
    private final ScheduledExecutorService mTimer =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "hosted-store");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final ResourceServer mServer;
    private long mRevision = 1;
    private long mCompacted;
    private long mNextLease = 1;
    private boolean mDown;

    private record Lease(long timeToLiveMillis, long endsAt) {}

    private record Watch(Exchange exchange, String prefix, long after, long endsAt) {}

    /**
     * Starts a store.
     *
     * @param ip the IP number to listen on
     * @param port the port, or 0 for any
     */
    public HostedStoreStandin(String ip, int port) {
        Routes routes =
                new Routes()
                        .add("GET", "/kv-key", exchange -> call(exchange, this::key))
                        .add("GET", "/kv-range", exchange -> call(exchange, this::range))
                        .add("GET", "/kv-watch", exchange -> call(exchange, this::watch))
                        .add("POST", "/kv-txn", exchange -> call(exchange, this::transact))
                        .add("POST", "/kv-lease", exchange -> call(exchange, this::grant))
                        .add("POST", "/kv-keep/*", exchange -> call(exchange, this::keep))
                        .add("DELETE", "/kv-lease-end/*", exchange -> call(exchange, this::end));
        mServer = new ResourceServer("hosted-store", ip, port, routes);
        mServer.start();
        mTimer.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Returns the port on which the store listens. */
    public int port() {
        return mServer.port();
    }

    /**
     * Writes a value, as the operator and the runners do.
     *
     * @param key the key
     * @param text the value
     */
    public synchronized void put(String key, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        mRevision++;
        write(key, Base64.getEncoder().encodeToString(bytes), 0);
        answerWatches();
    }

    /**
     * Removes a value.
     *
     * @param key the key
     */
    public synchronized void remove(String key) {
        mRevision++;
        delete(key);
        answerWatches();
    }

    /**
     * Takes the store down or up again. Leases run on meanwhile.
     *
     * @param down whether it refuses all calls
     */
    public synchronized void setDown(boolean down) {
        mDown = down;
        if (down) {
            mWatches.forEach(watch -> refuse(watch.exchange()));
            mWatches.clear();
        }
    }

    /** Drops the history, so that watches have to list again. */
    public synchronized void compact() {
        mHistory.clear();
        mCompacted = mRevision;
        mWatches.forEach(watch -> watch.exchange().reply(GONE, Json.object()));
        mWatches.clear();
    }

    private interface Handler {
        void handle(Exchange exchange);
    }

    private synchronized void call(Exchange exchange, Handler handler) {
        if (mDown) {
            refuse(exchange);
            return;
        }
        handler.handle(exchange);
    }

    private static void refuse(Exchange exchange) {
        exchange.replyError(UNAVAILABLE, "down", "the store is down");
    }

    private void key(Exchange exchange) {
        HostedItem item = mItems.get(exchange.queryText("key"));
        if (item == null) {
            exchange.replyError(NOT_FOUND, "absent", "no such key");
            return;
        }
        exchange.reply(OK, item.document().put("storeRevision", mRevision));
    }

    private void range(Exchange exchange) {
        ObjectNode answer = Json.object();
        ArrayNode items = answer.putArray("items");
        String prefix = exchange.queryText("prefix");
        for (HostedItem item : mItems.tailMap(prefix).values()) {
            if (item.key().startsWith(prefix)) {
                items.add(item.document());
            }
        }
        exchange.reply(OK, answer.put("morePages", false).put("storeRevision", mRevision));
    }

    private void watch(Exchange exchange) {
        long after = exchange.queryNumber("after", 0);
        if (after < mCompacted) {
            exchange.reply(GONE, Json.object());
            return;
        }
        long endsAt = System.currentTimeMillis() + exchange.queryNumber("waitMs", 0);
        mWatches.add(new Watch(exchange, exchange.queryText("prefix"), after, endsAt));
        answerWatches();
    }

    private void transact(Exchange exchange) {
        JsonNode transaction = exchange.json();
        for (JsonNode row : transaction.path("expected")) {
            HostedItem item = mItems.get(row.path("key").asText());
            long revision = item == null ? 0 : item.revision();
            if (revision != row.path("revision").asLong()) {
                conflict(exchange, transaction);
                return;
            }
        }
        for (JsonNode row : transaction.path("writes")) {
            long lease = row.path("lease").asLong(0);
            if (lease != 0 && !mLeases.containsKey(lease)) {
                exchange.replyError(NOT_FOUND, "lease", "no such lease");
                return;
            }
        }
        mRevision++;
        for (JsonNode row : transaction.path("writes")) {
            write(
                    row.path("key").asText(),
                    row.path("value").asText(),
                    row.path("lease").asLong(0));
        }
        for (JsonNode key : transaction.path("delete")) {
            delete(key.asText());
        }
        exchange.reply(OK, Json.object().put("revision", mRevision));
        answerWatches();
    }

    private void conflict(Exchange exchange, JsonNode transaction) {
        ObjectNode answer = Json.object();
        ArrayNode items = answer.putArray("items");
        for (JsonNode row : transaction.path("expected")) {
            HostedItem item = mItems.get(row.path("key").asText());
            if (item != null) {
                items.add(item.document());
            }
        }
        exchange.reply(CONDITION_FAILED, answer);
    }

    private void write(String key, String value, long lease) {
        HostedItem before = mItems.get(key);
        long created = before == null ? mRevision : before.created();
        HostedItem item = new HostedItem(key, value, mRevision, created, lease);
        mItems.put(key, item);
        mHistory.add(item.document());
    }

    private void delete(String key) {
        if (mItems.remove(key) != null) {
            mHistory.add(
                    Json.object()
                            .put("key", key)
                            .put("revision", mRevision)
                            .put("tombstone", true));
        }
    }

    private void grant(Exchange exchange) {
        long timeToLive = exchange.json().path("ttlMs").asLong();
        long lease = mNextLease++;
        mLeases.put(lease, new Lease(timeToLive, System.currentTimeMillis() + timeToLive));
        exchange.reply(OK, Json.object().put("lease", lease).put("ttlMs", timeToLive));
    }

    private void keep(Exchange exchange) {
        long id = Long.parseLong(exchange.pathBetween("/kv-keep/", ""));
        Lease lease = mLeases.get(id);
        if (lease == null) {
            exchange.replyError(NOT_FOUND, "lease", "no such lease");
            return;
        }
        long timeToLive = lease.timeToLiveMillis();
        mLeases.put(id, new Lease(timeToLive, System.currentTimeMillis() + timeToLive));
        exchange.reply(OK, Json.object().put("ttlMs", timeToLive));
    }

    private void end(Exchange exchange) {
        long id = Long.parseLong(exchange.pathBetween("/kv-lease-end/", ""));
        endLease(id);
        exchange.reply(OK, Json.object());
        answerWatches();
    }

    private void endLease(long id) {
        mLeases.remove(id);
        List<String> keys =
                mItems.values().stream()
                        .filter(item -> item.lease() == id)
                        .map(HostedItem::key)
                        .toList();
        for (String key : keys) {
            mRevision++;
            delete(key);
        }
    }

    private synchronized void tick() {
        long now = System.currentTimeMillis();
        List<Long> ended =
                mLeases.entrySet().stream()
                        .filter(entry -> entry.getValue().endsAt() <= now)
                        .map(Map.Entry::getKey)
                        .toList();
        ended.forEach(this::endLease);
        answerWatches();
    }

    private void answerWatches() {
        long now = System.currentTimeMillis();
        mWatches.removeIf(watch -> answer(watch, now));
    }

    private boolean answer(Watch watch, long now) {
        ObjectNode answer = Json.object();
        ArrayNode events = answer.putArray("events");
        for (ObjectNode event : mHistory) {
            if (event.path("revision").asLong() > watch.after()
                    && event.path("key").asText().startsWith(watch.prefix())) {
                events.add(event);
            }
        }
        if (events.isEmpty() && now < watch.endsAt()) {
            return false;
        }
        watch.exchange().reply(OK, answer.put("storeRevision", mRevision));
        return true;
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        mServer.close();
    }
}
