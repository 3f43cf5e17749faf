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
import org.oleanderspring.daemon.gateway.StoreNews;

/** What arrives in the ring of the gateway's routing duty. */
public sealed interface GatewayInput {
    /**
     * An event for the decider.
     *
     * @param event the event
     */
    record Event(RoutingEvent event) implements GatewayInput {}

    /**
     * The front end has read a request.
     *
     * @param request the request
     */
    record RequestRead(GatewayRequest request) implements GatewayInput {}

    /**
     * The answer to an attempt began.
     *
     * @param attempt the attempt
     * @param relay holds its content back
     * @param status the status
     * @param headers the header fields
     */
    record AnswerBegan(AttemptId attempt, GatewayRelay relay, int status, List<Header> headers)
            implements GatewayInput {
        /** Copies the headers. */
        public AnswerBegan {
            headers = List.copyOf(headers);
        }
    }

    /**
     * News from the platform's store.
     *
     * @param news the news
     */
    record StoreChanged(StoreNews news) implements GatewayInput {}

    /**
     * The daemon that gives orders told what a runner holds.
     *
     * @param residency what it holds
     */
    record ResidencyStated(Residency residency) implements GatewayInput {}

    /**
     * The daemon that gives orders told how long calls have to wait.
     *
     * @param target the model or adapter that they wait for
     * @param readyAfter how long
     */
    record ReadinessEstimated(Target.ServedModelTarget target, Duration readyAfter)
            implements GatewayInput {}

    /**
     * The settings of the daemon changed.
     *
     * @param settings the settings
     */
    record SettingsChanged(GatewaySettings settings) implements GatewayInput {}

    /** It is time to report the use of models. */
    record DemandDue() implements GatewayInput {}

    /** A planned stop has begun: clients should go elsewhere. */
    record LeaveBegan() implements GatewayInput {}

    /**
     * Somebody asks whether the daemon is ready.
     *
     * @param reply gets the answer
     */
    record ReadinessAsked(CompletableFuture<Boolean> reply) implements GatewayInput {}

    /**
     * A client asks where to connect.
     *
     * @param reply gets the addresses
     */
    record AddressesAsked(CompletableFuture<List<String>> reply) implements GatewayInput {}

    /**
     * Somebody waits until no request is in progress.
     *
     * @param reply completed then
     */
    record QuietAsked(CompletableFuture<Boolean> reply) implements GatewayInput {}
}
