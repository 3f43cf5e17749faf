package org.oleanderspring.daemon.gateway.routing.command;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.core.residency.Residency;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.routing.command.RoutingEvent;
import org.oleanderspring.daemon.gateway.GatewaySettings;
import org.oleanderspring.daemon.gateway.StoreUpdate;

/** What arrives in the ring of the gateway's routing duty. */
public sealed interface GatewayRoutingInput {
    /**
     * An event for the decider.
     *
     * @param event the event
     */
    record Event(RoutingEvent event) implements GatewayRoutingInput {}

    /**
     * The front end has read a request.
     *
     * @param request the request
     */
    record RequestRead(GatewayRequest request) implements GatewayRoutingInput {}

    /**
     * The answer to an attempt began.
     *
     * @param attempt the attempt
     * @param relay holds its content back
     * @param status the status
     * @param headers the header fields
     */
    record ResponseBegan(AttemptId attempt, GatewayRelay relay, int status, List<Header> headers)
            implements GatewayRoutingInput {
        /** Copies the headers. */
        public ResponseBegan {
            headers = List.copyOf(headers);
        }
    }

    /**
     * News from the platform's store.
     *
     * @param update the news
     */
    record StoreChanged(StoreUpdate update) implements GatewayRoutingInput {}

    /**
     * The daemon that gives orders told what a runner holds.
     *
     * @param residency what it holds
     */
    record ResidencyReceived(Residency residency) implements GatewayRoutingInput {}

    /**
     * The daemon that gives orders told how long calls have to wait.
     *
     * @param target the model or adapter that they wait for
     * @param readyAfter how long
     */
    record ReadinessEstimated(Target.ServiceModelTarget target, Duration readyAfter)
            implements GatewayRoutingInput {}

    /**
     * The settings of the daemon changed.
     *
     * @param settings the settings
     */
    record SettingsChanged(GatewaySettings settings) implements GatewayRoutingInput {}

    /** It is time to report the use of models. */
    record DemandReportDue() implements GatewayRoutingInput {}

    /** A planned stop has begun: clients should go elsewhere. */
    record ShutdownBegan() implements GatewayRoutingInput {}

    /**
     * Somebody asks whether the daemon is ready.
     *
     * @param reply gets the answer
     */
    record ReadinessAsked(CompletableFuture<Boolean> reply) implements GatewayRoutingInput {}

    /**
     * A client asks where to connect.
     *
     * @param reply gets the addresses
     */
    record AddressesAsked(CompletableFuture<List<String>> reply) implements GatewayRoutingInput {}

    /**
     * Somebody waits until no request is in progress.
     *
     * @param reply completed then
     */
    record IdleAwaited(CompletableFuture<Boolean> reply) implements GatewayRoutingInput {}
}
