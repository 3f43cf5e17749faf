package org.oleanderspring.standin.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.oleanderspring.standin.http.Json;

/**
 * Record of the attempts that the engine started and of the orders that it received, as ground
 * truth for tests; used on the engine's state thread only. Entries are never removed.
 */
public final class EngineLedger {
    private final List<CompletionAttempt> mRuns = new ArrayList<>();
    private final List<OrderEntry> mOrders = new ArrayList<>();
    private long mPeakMegabytes;

    /**
     * Records an attempt that started to run.
     *
     * @param attempt the attempt
     */
    public void recordRun(CompletionAttempt attempt) {
        mRuns.add(attempt);
    }

    /**
     * Records an order and its result.
     *
     * @param order the order
     * @param result {@code ACCEPTED}, {@code REPEATED} or the reason of the rejection
     */
    public void recordOrder(EngineOrder order, String result) {
        mOrders.add(new OrderEntry(order, result));
    }

    /**
     * Updates the peak memory usage.
     *
     * @param megabytes the memory occupied by all slots, in MB
     */
    public void recordMemory(long megabytes) {
        mPeakMegabytes = Math.max(mPeakMegabytes, megabytes);
    }

    /** Returns the ledger as JSON; the attempts are shown with their current state. */
    public ObjectNode toJson() {
        ObjectNode document = Json.object().put("peakMemoryMegabytes", mPeakMegabytes);
        ArrayNode runs = document.putArray("runs");
        for (CompletionAttempt run : mRuns) {
            runs.addObject()
                    .put("attempt", run.id())
                    .put("model", run.model())
                    .put("priority", run.priority())
                    .put("state", run.state().name());
        }
        ArrayNode orders = document.putArray("orders");
        for (OrderEntry entry : mOrders) {
            EngineOrder order = entry.order();
            orders.addObject()
                    .put("id", order.id())
                    .put("kind", order.kind())
                    .put("subject", order.subject())
                    .put("version", order.version())
                    .put("token", order.token())
                    .put("result", entry.result());
        }
        return document;
    }

    private record OrderEntry(EngineOrder order, String result) {}
}
