package org.oleanderspring.standin.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.oleanderspring.standin.http.Json;

/** What the engine truly did, for tests to compare with; confined to the engine's duty. */
public final class EngineLedger {
    private final List<CompletionAttempt> mRuns = new ArrayList<>();
    private final List<OrderEntry> mOrders = new ArrayList<>();
    private long mPeakMegabytes;

    /**
     * Records an attempt that began to run.
     *
     * @param attempt the attempt
     */
    public void recordRun(CompletionAttempt attempt) {
        mRuns.add(attempt);
    }

    /**
     * Records an order.
     *
     * @param order the order
     * @param result {@code ACCEPTED}, {@code REPEATED} or the reason of the refusal
     */
    public void recordOrder(EngineOrder order, String result) {
        mOrders.add(new OrderEntry(order, result));
    }

    /**
     * Records how much memory is loaded.
     *
     * @param megabytes the memory of all slots
     */
    public void recordMemory(long megabytes) {
        mPeakMegabytes = Math.max(mPeakMegabytes, megabytes);
    }

    /** Returns the ledger as a document. */
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
