package org.oleanderspring.standin.hosted;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
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

/**
 * A simulated key-value service that speaks the protocol of the hosted platform and can be made
 * unavailable. Thread-safe.
 *
 * <p>A transaction is applied if each key that it lists has the expected revision, 0 for an absent
 * key; otherwise it gets status 412 with the present items of these keys.
 *
 * <p>The service has one revision counter. Each put, removal and applied transaction adds one to
 * it, even if nothing changes; the end of a lease adds one for each key attached to it. The history
 * contains every change since the last {@link #compact}, so that a watch reports each change after
 * the requested revision; a watch from before the compacted revision gets status 410 and has to
 * list the keys again. A watch without changes to report is held until there is one or its waiting
 * time ends.
 *
 * <p>The service can come back from a copy that it makes periodically once it names eras; see
 * {@link #nameEras} and {@link #restore}.
 */
public final class HostedStoreStandin implements AutoCloseable {
    private static final String ERA_HEADER = "Store-Era";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;
    private static final int PRECONDITION_FAILED = 412;
    private static final int UNAVAILABLE = 503;
    private static final long EXPIRY_CHECK_MILLIS = 20;

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
    private long mCompactedRevision;
    private long mNextLease = 1;
    private final List<String> mCalls = new ArrayList<>();
    private boolean mDown;
    private boolean mSilent;
    private boolean mRecordsCalls;
    private final StoreCopies mCopies = new StoreCopies();
    private long mEra;
    private long mUnansweredInEra;

    private record Lease(long timeToLiveMillis, long expiresAtMillis) {}

    private record Watch(
            Exchange exchange, String prefix, long afterRevision, long expiresAtMillis) {}

    /**
     * Starts an empty key-value service, which accepts requests at once.
     *
     * @param ip the IP address to listen on
     * @param port the port to listen on, or 0 for any free port
     */
    public HostedStoreStandin(String ip, int port) {
        Routes routes =
                new Routes()
                        .add("GET", "/kv-key", exchange -> handleIfUp(exchange, this::handleKey))
                        .add(
                                "GET",
                                "/kv-range",
                                exchange -> handleIfUp(exchange, this::handleRange))
                        .add(
                                "GET",
                                "/kv-watch",
                                exchange -> handleIfUp(exchange, this::handleWatch))
                        .add(
                                "POST",
                                "/kv-txn",
                                exchange -> handleIfUp(exchange, this::handleTransaction))
                        .add(
                                "POST",
                                "/kv-lease",
                                exchange -> handleIfUp(exchange, this::handleLeaseGrant))
                        .add(
                                "POST",
                                "/kv-keep/*",
                                exchange -> handleIfUp(exchange, this::handleLeaseRenewal))
                        .add(
                                "DELETE",
                                "/kv-lease-end/*",
                                exchange -> handleIfUp(exchange, this::handleLeaseEnd));
        mServer = new ResourceServer("hosted-store", ip, port, routes);
        mServer.start();
        mTimer.scheduleAtFixedRate(
                this::expireLeasesAndWatches,
                EXPIRY_CHECK_MILLIS,
                EXPIRY_CHECK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Returns the port that the key-value service listens on. */
    public int port() {
        return mServer.port();
    }

    /**
     * Writes a value without a lease, as operators and runners do.
     *
     * @param key the key
     * @param text the value, stored in UTF-8
     */
    public synchronized void put(String key, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        mRevision++;
        String value = Base64.getEncoder().encodeToString(bytes);
        write(key, value, 0);
        mCopies.outsideWrite(key, value);
        completeWatches();
    }

    /**
     * Returns the value of a key as text, empty if the key does not exist.
     *
     * @param key the key
     */
    public synchronized String text(String key) {
        HostedItem item = mItems.get(key);
        return item == null
                ? ""
                : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    /**
     * Removes a key.
     *
     * @param key the key
     */
    public synchronized void remove(String key) {
        mRevision++;
        delete(key);
        mCopies.outsideWrite(key, null);
        completeWatches();
    }

    /**
     * Makes the key-value service unavailable or available again. Leases also expire while it is
     * unavailable.
     *
     * @param down whether all calls and open watches get status 503
     */
    public synchronized void setDown(boolean down) {
        mDown = down;
        if (down) {
            mWatches.forEach(watch -> replyUnavailable(watch.exchange()));
            mWatches.clear();
        }
    }

    /**
     * Makes the key-value service silent or lets it answer again. Calls that arrive while it is
     * silent, and watches that are open when it becomes silent, never get an answer. Leases also
     * expire while it is silent.
     *
     * @param silent whether calls get no answer
     */
    public synchronized void setSilent(boolean silent) {
        mSilent = silent;
        mWatches.clear();
        mCalls.clear();
        mRecordsCalls = true;
    }

    /**
     * Returns the calls that arrived since the last call of {@link #setSilent}, in order: the path,
     * and the value of the query parameter {@code prefix} after a space.
     */
    public synchronized List<String> calls() {
        return List.copyOf(mCalls);
    }

    /**
     * Clears the change history and ends the watches with 410, so that clients have to list again.
     */
    public synchronized void compact() {
        mHistory.clear();
        mCompactedRevision = mRevision;
        mWatches.forEach(watch -> watch.exchange().reply(GONE, Json.object()));
        mWatches.clear();
    }

    /** Names the era in all answers from now on, beginning with era 1, and makes copies. */
    public synchronized void nameEras() {
        mEra = 1;
        copy();
    }

    /**
     * Comes back from a copy of some time ago and raises the era. Keys and leases that came since
     * are lost, and revisions and lease identities are given out again. What operators and runners
     * wrote without a lease by {@link #put} and {@link #remove} is written again. Open watches get
     * no answer from the earlier state.
     *
     * @param lost the time whose changes are lost, at most some seconds
     * @param unanswered the number of calls that get status 503 before the new era serves, so that
     *     some callers see it before others
     */
    public synchronized void restore(Duration lost, long unanswered) {
        StoreCopies.Copy copy = mCopies.before(System.nanoTime() - lost.toNanos());
        mItems.clear();
        mItems.putAll(copy.items());
        long now = System.currentTimeMillis();
        mLeases.clear();
        copy.leases()
                .forEach(
                        (id, timeToLive) ->
                                mLeases.put(id, new Lease(timeToLive, now + timeToLive)));
        mHistory.clear();
        mCompactedRevision = copy.revision();
        mRevision = copy.revision();
        mNextLease = copy.nextLease();
        mEra++;
        mUnansweredInEra = unanswered;
        mWatches.forEach(watch -> replyUnavailable(watch.exchange()));
        mWatches.clear();
        for (StoreCopies.OutsideWrite write : mCopies.outsideWritesSince(copy)) {
            mRevision++;
            if (write.value() == null) {
                delete(write.key());
            } else {
                write(write.key(), write.value(), 0);
            }
        }
        copy();
    }

    private void copy() {
        Map<Long, Long> leases = new HashMap<>();
        mLeases.forEach((id, lease) -> leases.put(id, lease.timeToLiveMillis()));
        mCopies.add(
                new StoreCopies.Copy(
                        System.nanoTime(), new TreeMap<>(mItems), leases, mRevision, mNextLease));
    }

    private interface Handler {
        void handle(Exchange exchange);
    }

    private synchronized void handleIfUp(Exchange exchange, Handler handler) {
        if (mRecordsCalls) {
            mCalls.add(exchange.path() + " " + exchange.queryString("prefix"));
        }
        if (mSilent) {
            return;
        }
        if (mEra > 0) {
            exchange.withHeader(ERA_HEADER, Long.toString(mEra));
        }
        if (mUnansweredInEra > 0) {
            mUnansweredInEra--;
            replyUnavailable(exchange);
            return;
        }
        if (mDown) {
            replyUnavailable(exchange);
            return;
        }
        handler.handle(exchange);
    }

    private static void replyUnavailable(Exchange exchange) {
        exchange.replyError(UNAVAILABLE, "down", "the store is down");
    }

    private void handleKey(Exchange exchange) {
        HostedItem item = mItems.get(exchange.queryString("key"));
        if (item == null) {
            exchange.replyError(NOT_FOUND, "absent", "no such key");
            return;
        }
        exchange.reply(OK, item.toJson().put("storeRevision", mRevision));
    }

    private void handleRange(Exchange exchange) {
        ObjectNode response = Json.object();
        ArrayNode items = response.putArray("items");
        String prefix = exchange.queryString("prefix");
        for (HostedItem item : mItems.tailMap(prefix).values()) {
            if (item.key().startsWith(prefix)) {
                items.add(item.toJson());
            }
        }
        exchange.reply(OK, response.put("morePages", false).put("storeRevision", mRevision));
    }

    private void handleWatch(Exchange exchange) {
        long after = exchange.queryLong("after", 0);
        if (after < mCompactedRevision || after > mRevision) {
            exchange.reply(GONE, Json.object());
            return;
        }
        long expiresAt = System.currentTimeMillis() + exchange.queryLong("waitMs", 0);
        mWatches.add(new Watch(exchange, exchange.queryString("prefix"), after, expiresAt));
        completeWatches();
    }

    private void handleTransaction(Exchange exchange) {
        JsonNode transaction = exchange.json();
        for (JsonNode expected : transaction.path("expected")) {
            HostedItem item = mItems.get(expected.path("key").asText());
            long revision = item == null ? 0 : item.modRevision();
            if (revision != expected.path("revision").asLong()) {
                replyConflict(exchange, transaction);
                return;
            }
        }
        for (JsonNode write : transaction.path("writes")) {
            long lease = write.path("lease").asLong(0);
            if (lease != 0 && !mLeases.containsKey(lease)) {
                exchange.replyError(NOT_FOUND, "lease", "no such lease");
                return;
            }
        }
        mRevision++;
        for (JsonNode write : transaction.path("writes")) {
            write(
                    write.path("key").asText(),
                    write.path("value").asText(),
                    write.path("lease").asLong(0));
        }
        for (JsonNode key : transaction.path("delete")) {
            delete(key.asText());
        }
        exchange.reply(OK, Json.object().put("revision", mRevision));
        completeWatches();
    }

    private void replyConflict(Exchange exchange, JsonNode transaction) {
        ObjectNode response = Json.object();
        ArrayNode items = response.putArray("items");
        for (JsonNode expected : transaction.path("expected")) {
            HostedItem item = mItems.get(expected.path("key").asText());
            if (item != null) {
                items.add(item.toJson());
            }
        }
        exchange.reply(PRECONDITION_FAILED, response);
    }

    private void write(String key, String value, long lease) {
        HostedItem previous = mItems.get(key);
        long created = previous == null ? mRevision : previous.createRevision();
        HostedItem item = new HostedItem(key, value, mRevision, created, lease);
        mItems.put(key, item);
        mHistory.add(item.toJson());
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

    private void handleLeaseGrant(Exchange exchange) {
        long timeToLive = exchange.json().path("ttlMs").asLong();
        long lease = mNextLease++;
        mLeases.put(lease, new Lease(timeToLive, System.currentTimeMillis() + timeToLive));
        exchange.reply(OK, Json.object().put("lease", lease).put("ttlMs", timeToLive));
    }

    private void handleLeaseRenewal(Exchange exchange) {
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

    private void handleLeaseEnd(Exchange exchange) {
        long id = Long.parseLong(exchange.pathBetween("/kv-lease-end/", ""));
        removeLease(id);
        exchange.reply(OK, Json.object());
        completeWatches();
    }

    private void removeLease(long id) {
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

    private synchronized void expireLeasesAndWatches() {
        long now = System.currentTimeMillis();
        List<Long> expired =
                mLeases.entrySet().stream()
                        .filter(entry -> entry.getValue().expiresAtMillis() <= now)
                        .map(Map.Entry::getKey)
                        .toList();
        expired.forEach(this::removeLease);
        if (mEra > 0) {
            copy();
        }
        completeWatches();
    }

    private void completeWatches() {
        long now = System.currentTimeMillis();
        mWatches.removeIf(watch -> tryComplete(watch, now));
    }

    private boolean tryComplete(Watch watch, long now) {
        ObjectNode response = Json.object();
        ArrayNode events = response.putArray("events");
        for (ObjectNode event : mHistory) {
            if (event.path("revision").asLong() > watch.afterRevision()
                    && event.path("key").asText().startsWith(watch.prefix())) {
                events.add(event);
            }
        }
        if (events.isEmpty() && now < watch.expiresAtMillis()) {
            return false;
        }
        watch.exchange().reply(OK, response.put("storeRevision", mRevision));
        return true;
    }

    @Override
    public void close() {
        mTimer.shutdownNow();
        mServer.close();
    }
}
