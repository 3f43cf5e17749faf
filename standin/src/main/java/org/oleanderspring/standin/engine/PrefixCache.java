package org.oleanderspring.standin.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import org.oleanderspring.standin.http.Json;

/**
 * A least-recently-used cache of 64 prompt prefixes and the log of its changes; used on the
 * engine's state thread only.
 *
 * <p>Readers see an event only after a lag, and every tenth event is withheld from them, so they
 * have to tolerate gaps in the sequence numbers. The log is never shortened.
 */
public final class PrefixCache {
    private static final int MAX_ENTRIES = 64;
    private static final int PREFIX_BYTES = 256;
    private static final int HIDDEN_EVENT_PERIOD = 10;
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    /** In the order of their last use. */
    private final LinkedHashMap<CachedPrefix, Boolean> mEntries =
            new LinkedHashMap<>(16, 0.75f, true);

    private final List<Event> mEvents = new ArrayList<>();

    /**
     * Returns the hash of a prompt's prefix: FNV-1a with 64 bits over its first 256 bytes in UTF-8.
     *
     * @param prompt the prompt
     */
    public static long hash(String prompt) {
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        long hash = FNV_OFFSET;
        for (int i = 0; i < Math.min(bytes.length, PREFIX_BYTES); i++) {
            hash = (hash ^ (bytes[i] & 0xff)) * FNV_PRIME;
        }
        return hash;
    }

    /**
     * Looks up the prefix of a prompt and adds it if it is absent. A full cache evicts the least
     * recently used prefix.
     *
     * @param model the name of the model or adapter
     * @param prompt the prompt
     * @return whether the prefix was cached before
     */
    public boolean lookUpOrAdd(String model, String prompt) {
        CachedPrefix entry = new CachedPrefix(model, hash(prompt));
        // get() moves the entry to the end of the access order; containsKey() would not.
        if (mEntries.get(entry) != null) {
            return true;
        }
        mEntries.put(entry, Boolean.TRUE);
        addEvent("STORED", entry);
        if (mEntries.size() > MAX_ENTRIES) {
            remove(mEntries.keySet().iterator().next());
        }
        return false;
    }

    /**
     * Removes the prefixes of a model.
     *
     * @param model the name of the model or adapter
     */
    public void removeModel(String model) {
        List<CachedPrefix> entries =
                mEntries.keySet().stream().filter(entry -> entry.model().equals(model)).toList();
        entries.forEach(this::remove);
    }

    private void remove(CachedPrefix entry) {
        mEntries.remove(entry);
        addEvent("EVICTED", entry);
    }

    private void addEvent(String kind, CachedPrefix entry) {
        mEvents.add(new Event(mEvents.size() + 1, kind, entry, Instant.now()));
    }

    /**
     * Returns the visible events as JSON.
     *
     * @param after the sequence number after which to start; 0 for the first event
     * @param lag the minimum age of a visible event
     */
    public ObjectNode eventsAfter(long after, Duration lag) {
        Instant latestVisible = Instant.now().minus(lag);
        ObjectNode document = Json.object();
        ArrayNode events = document.putArray("events");
        for (Event event : mEvents) {
            if (event.number() <= after || event.number() % HIDDEN_EVENT_PERIOD == 0) {
                continue;
            }
            if (event.createdAt().isAfter(latestVisible)) {
                break;
            }
            events.addObject()
                    .put("number", event.number())
                    .put("kind", event.kind())
                    .put("model", event.entry().model())
                    .put("prefixHash", Long.toUnsignedString(event.entry().hash()));
        }
        return document;
    }

    private record CachedPrefix(String model, long hash) {}

    private record Event(long number, String kind, CachedPrefix entry, Instant createdAt) {}
}
