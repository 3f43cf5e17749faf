package org.oleanderspring.standin.service.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.oleanderspring.standin.http.Exchange;
import org.oleanderspring.standin.http.Json;
import org.oleanderspring.standin.http.StateThread;
import org.oleanderspring.standin.service.ServiceState;

/** Runs calls, which echo what they were sent, and sets faults. */
public final class WorkResource {
    private final StateThread mDuty;
    private final ServiceState mState;

    /**
     * Creates the resource.
     *
     * @param duty owns the state
     * @param state the state
     */
    public WorkResource(StateThread duty, ServiceState state) {
        mDuty = duty;
        mState = state;
    }

    /**
     * Runs a call, or answers 503 with the header {@code X-Work: not-run}.
     *
     * @param exchange the request
     */
    public void run(Exchange exchange) {
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
        mDuty.schedule(mState.workDuration(), () -> echo(exchange));
    }

    private static void echo(Exchange exchange) {
        ObjectNode answer = Json.object();
        answer.put("method", exchange.method());
        answer.put("path", exchange.path());
        answer.put("body", new String(exchange.body(), StandardCharsets.UTF_8));
        exchange.reply(200, answer);
    }

    /**
     * Sets faults.
     *
     * @param exchange the request
     */
    public void setFaults(Exchange exchange) {
        mState.updateFaults(exchange.json());
        exchange.reply(200, Json.object());
    }
}
