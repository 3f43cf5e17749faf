package org.oleanderspring.standin.engine.command;

import java.util.HashSet;
import java.util.Set;
import org.oleanderspring.standin.engine.CatalogueEntry;
import org.oleanderspring.standin.engine.EngineOrder;
import org.oleanderspring.standin.engine.EngineSlot;
import org.oleanderspring.standin.engine.EngineSlotState;
import org.oleanderspring.standin.engine.EngineState;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.http.Resource;

/** Handles orders: 202 if accepted or repeated, 409 with a reason if rejected. */
public final class OrderResource implements Resource {
    private static final String ACCEPTED = "ACCEPTED";

    private final EngineState mState;
    private final CheckpointLoader mLoader;
    private final Set<String> mAcceptedIds = new HashSet<>();

    /**
     * Creates the resource, without accepted orders.
     *
     * @param state the engine state
     * @param loader executes loads and unloads
     */
    public OrderResource(EngineState state, CheckpointLoader loader) {
        mState = state;
        mLoader = loader;
    }

    @Override
    public void handle(Exchange exchange) {
        EngineOrder order = EngineOrder.read(exchange.json());
        // The injected fault drops the reply; the order is handled all the same.
        if (mState.faults().consumeDroppedReply()) {
            exchange.suppressReply();
        }
        if (mAcceptedIds.contains(order.id())) {
            // A repeated order is recorded, but not executed again.
            mState.ledger().recordOrder(order, "REPEATED");
            exchange.reply(202, Json.object().put("id", order.id()));
            return;
        }
        String result = execute(order);
        mState.ledger().recordOrder(order, result);
        if (!result.equals(ACCEPTED)) {
            exchange.reply(409, Json.object().put("id", order.id()).put("reason", result));
            return;
        }
        mAcceptedIds.add(order.id());
        exchange.reply(202, Json.object().put("id", order.id()));
    }

    private String execute(EngineOrder order) {
        if (mState.options().checksToken() && order.token() < mState.highestToken()) {
            return "STALE_TOKEN";
        }
        String result =
                switch (order.kind()) {
                    case "LOAD_MODEL", "LOAD_ADAPTER" -> load(order);
                    case "UNLOAD_MODEL", "UNLOAD_ADAPTER" -> unload(order);
                    case "CHANGE_ROLE" -> changeRole(order);
                    default -> "UNSUPPORTED";
                };
        if (result.equals(ACCEPTED)) {
            mState.recordToken(order.token());
            mState.updateReport();
        }
        return result;
    }

    private String load(EngineOrder order) {
        if (mState.faults().isDraining()) {
            return "DRAINING";
        }
        CatalogueEntry entry = mState.catalogueEntry(order.subject());
        boolean adapterOrder = order.kind().equals("LOAD_ADAPTER");
        if (entry == null || adapterOrder != (entry.base() != null)) {
            return "UNKNOWN_CHECKPOINT";
        }
        EngineSlot present = mState.slots().get(entry.name());
        if (present != null) {
            return loadPresent(order, present);
        }
        String base = entry.base();
        if (base != null && !mState.isReady(base)) {
            return "BASE_NOT_LOADED";
        }
        long free = mState.options().memoryMegabytes() - mState.usedMegabytes();
        if (entry.memoryMegabytes() > free) {
            return "NO_MEMORY";
        }
        mLoader.load(order, new EngineSlot(entry, order.version()));
        return ACCEPTED;
    }

    /**
     * Accepts a load order for a checkpoint that is loaded or being loaded; the order completes at
     * once, even if the load is still in progress. A slot with another version has to be unloaded
     * first, and an unload that is in progress has to end first.
     */
    private String loadPresent(EngineOrder order, EngineSlot present) {
        if (present.state() == EngineSlotState.UNLOADING
                || !present.version().equals(order.version())) {
            return "UNSUPPORTED";
        }
        mState.endedOrders().add(order.id());
        return ACCEPTED;
    }

    private String unload(EngineOrder order) {
        EngineSlot present = mState.slots().get(order.subject());
        if (present == null) {
            // Nothing to unload, so the order has already completed.
            mState.endedOrders().add(order.id());
            return ACCEPTED;
        }
        mLoader.unload(order, present);
        return ACCEPTED;
    }

    private String changeRole(EngineOrder order) {
        mState.setRole(order.subject());
        mState.endedOrders().add(order.id());
        return ACCEPTED;
    }
}
