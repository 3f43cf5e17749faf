package org.oleanderspring.standin.keyvalue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.oleanderspring.standin.http.Json;

/**
 * Counts the calls by path, and the calls rejected by the rate limits; used on the stand-in's state
 * thread only.
 */
public final class CallCounters {
    private final Map<String, Long> mCallsByPath = new TreeMap<>();
    private long mOverBudget;

    /**
     * Counts a call, whether or not it is rejected later.
     *
     * @param path the request path
     */
    public void count(String path) {
        mCallsByPath.merge(path, 1L, Long::sum);
    }

    /** Counts a call that exceeded its rate limit. */
    public void countOverBudget() {
        mOverBudget++;
    }

    /** Returns the counters as JSON. */
    public ObjectNode toJson() {
        ObjectNode document = Json.object();
        ObjectNode calls = document.putObject("calls");
        mCallsByPath.forEach(calls::put);
        return document.put("overBudget", mOverBudget);
    }
}
