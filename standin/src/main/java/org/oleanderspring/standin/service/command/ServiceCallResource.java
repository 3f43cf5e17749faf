package org.oleanderspring.standin.service.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.http.StateThread;
import org.oleanderspring.standin.service.ServiceState;

/** Handles calls, whose response echoes the request, and requests that set faults. */
public final class ServiceCallResource {
    private final StateThread mStateThread;
    private final ServiceState mState;

    /**
     * Creates the resource.
     *
     * @param stateThread the thread that owns the state
     * @param state the service state
     */
    public ServiceCallResource(StateThread stateThread, ServiceState state) {
        mStateThread = stateThread;
        mState = state;
    }

    /**
     * Executes a call; while draining, replies 503 with the header {@code X-Work: not-run}.
     *
     * @param exchange the request and its response
     */
    public void handleCall(Exchange exchange) {
        if (mState.isDraining()) {
            exchange.withHeader("X-Work", "not-run")
                    .withHeader("X-Draining", "true")
                    .replyError(503, "draining", "the service takes no new calls");
            return;
        }
        String key = exchange.header("Idempotency-Key");
        mState.countRun(key == null ? "" : key);
        if (mState.consumeLostReply()) {
            exchange.suppressReply();
        }
        if (mState.workDuration().isZero()) {
            echo(exchange);
            return;
        }
        mStateThread.schedule(mState.workDuration(), () -> echo(exchange));
    }

    private static void echo(Exchange exchange) {
        ObjectNode response = Json.object();
        response.put("method", exchange.method());
        response.put("path", exchange.path());
        response.put("body", new String(exchange.body(), StandardCharsets.UTF_8));
        exchange.reply(200, response);
    }

    /**
     * Sets the faults that the request contains; see {@link ServiceState#updateFaults}.
     *
     * @param exchange the request and its response
     */
    public void setFaults(Exchange exchange) {
        mState.updateFaults(exchange.json());
        exchange.reply(200, Json.object());
    }
}
