package org.oleanderspring.daemon.gateway.routing.command;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oleanderspring.core.directory.DirectoryCaller;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointStatement;
import org.oleanderspring.core.load.EndpointLoad;
import org.oleanderspring.core.permit.PermitGrant;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.core.quarantine.query.Quarantine;
import org.oleanderspring.core.residency.Residency;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.routing.command.RoutingEvent;
import org.oleanderspring.core.share.ShareGrant;
import org.oleanderspring.daemon.gateway.GatewaySettings;
import org.oleanderspring.daemon.gateway.StoreUpdate;

/** An event in the ring of the gateway's routing duty. */
public sealed interface GatewayRoutingInput {
    /**
     * An event that is passed to the routing decider.
     *
     * @param event the event
     */
    record Event(RoutingEvent event) implements GatewayRoutingInput {}

    /**
     * The front end has read a request completely.
     *
     * @param request the request
     */
    record RequestRead(GatewayRequest request) implements GatewayRoutingInput {}

    /**
     * A runner said something about itself in the head of a response.
     *
     * @param runner the runner
     * @param statement what it said
     */
    record RunnerStated(EndpointId runner, EndpointStatement statement)
            implements GatewayRoutingInput {}

    /**
     * The response to an attempt began.
     *
     * @param attempt the attempt
     * @param relay the relay, which holds the body back until it is admitted
     * @param status the HTTP status
     * @param headers the header fields
     */
    record ResponseBegan(
            AttemptId attempt, GatewayResponseRelay relay, int status, List<Header> headers)
            implements GatewayRoutingInput {
        /** Copies the headers. */
        public ResponseBegan {
            headers = List.copyOf(headers);
        }
    }

    /**
     * The response to an attempt began and turned out to be invalid.
     *
     * @param attempt the attempt
     * @param reason what is wrong, for the log
     */
    record ResponseInvalid(AttemptId attempt, String reason) implements GatewayRoutingInput {}

    /**
     * An update from the platform's key-value service arrived.
     *
     * @param update the update
     */
    record StoreChanged(StoreUpdate update) implements GatewayRoutingInput {}

    /**
     * The holder of the placement lease reported which models a runner has loaded.
     *
     * @param residency the models and adapters of one runner
     */
    record ResidencyReceived(Residency residency) implements GatewayRoutingInput {}

    /**
     * The holder of the placement lease estimated when a model or adapter will be loaded.
     *
     * @param target the model or adapter
     * @param readyAfter the estimated time until it is loaded
     */
    record ReadinessEstimated(Target.ServiceModelTarget target, Duration readyAfter)
            implements GatewayRoutingInput {}

    /**
     * The holder of the placement lease reported the calls of all daemons at endpoints.
     *
     * @param loads the endpoints that run calls or are slow
     */
    record EndpointLoadsReceived(List<EndpointLoad> loads) implements GatewayRoutingInput {
        /** Copies the list. */
        public EndpointLoadsReceived {
            loads = List.copyOf(loads);
        }
    }

    /**
     * The settings of the daemon were reloaded and changed.
     *
     * @param settings the new settings
     */
    record SettingsChanged(GatewaySettings settings) implements GatewayRoutingInput {}

    /**
     * The prompts whose calls are refused changed, or became known.
     *
     * @param quarantine the patterns of these prompts
     */
    record QuarantineChanged(Quarantine quarantine) implements GatewayRoutingInput {}

    /**
     * A daemon replied to a request for permits.
     *
     * @param grant the permits
     */
    record PermitsReceived(PermitGrant grant) implements GatewayRoutingInput {}

    /**
     * A daemon replied to a request for a part of a shared rate.
     *
     * @param grant the part
     */
    record ShareReceived(ShareGrant grant) implements GatewayRoutingInput {}

    /** The next report of the demand for models is due. */
    record DemandReportDue() implements GatewayRoutingInput {}

    /**
     * A planned stop began: from now on the daemon reports that it is not ready and leaves itself
     * out of the directory, but still accepts requests that will probably end in time.
     *
     * @param limit the time until requests in progress are aborted
     */
    record ShutdownBegan(Duration limit) implements GatewayRoutingInput {}

    /**
     * A query whether the daemon is ready.
     *
     * @param reply completed with the result
     */
    record ReadinessRequested(CompletableFuture<Boolean> reply) implements GatewayRoutingInput {}

    /**
     * A query for the addresses to which clients may connect.
     *
     * @param caller the client
     * @param reply completed with the addresses
     */
    record AddressesRequested(DirectoryCaller caller, CompletableFuture<List<String>> reply)
            implements GatewayRoutingInput {}

    /**
     * The sender waits until no request is in progress.
     *
     * @param reply completed with true as soon as there is none
     */
    record IdleAwaited(CompletableFuture<Boolean> reply) implements GatewayRoutingInput {}
}
