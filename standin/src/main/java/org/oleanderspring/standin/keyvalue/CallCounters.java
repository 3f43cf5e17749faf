package org.oleanderspring.standin.keyvalue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.oleanderspring.standin.http.Json;

/** Counts the calls by path and the calls over budget; confined to the stand-in's duty. */
public final class CallCounters {
    private final Map<String, Long> mCallsByPath = new TreeMap<>();
    private long mOverBudget;

    /**
     * Counts a call.
     *
     * @param path the path
     */
    public void count(String path) {
        mCallsByPath.merge(path, 1L, Long::sum);
    }

    /** Counts a call that was over budget. */
    public void countOverBudget() {
        mOverBudget++;
    }

    /** Returns the counts as a document. */
    public ObjectNode toJson() {
        ObjectNode document = Json.object();
        ObjectNode calls = document.putObject("calls");
        mCallsByPath.forEach(calls::put);
        return document.put("overBudget", mOverBudget);
    }
}
