package org.oleanderspring.daemon.routing.command;

import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oleanderspring.core.fleet.Checkpoint;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.VmList;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.command.RoutingEvent;
import org.oleanderspring.core.settings.FleetSettings;
import org.oleanderspring.daemon.front.IncomingCall;

/** What the ring of the routing duty holds. */
public sealed interface RoutingInput {
    /**
     * An event for the decider.
     *
     * @param event the event
     */
    record Event(RoutingEvent event) implements RoutingInput {}

    /**
     * A call from the front end.
     *
     * @param call the call
     */
    record CallAccepted(IncomingCall call) implements RoutingInput {}

    /**
     * The VM list was read.
     *
     * @param vms the list
     */
    record VmsListed(VmList vms) implements RoutingInput {}

    /**
     * The catalogue was read.
     *
     * @param checkpoints all models and adapters
     */
    record CatalogueListed(List<Checkpoint> checkpoints) implements RoutingInput {
        /** Copies the list. */
        public CatalogueListed {
            checkpoints = List.copyOf(checkpoints);
        }
    }

    /**
     * A plan came into force.
     *
     * @param plan the plan
     */
    record PlanInForce(Plan plan) implements RoutingInput {}

    /**
     * The number of daemons changed, among which the runners' capacity is shared.
     *
     * @param daemons the number of live daemons, at least 1
     */
    record DaemonCountChanged(int daemons) implements RoutingInput {}

    /**
     * The daemon may decide by its settings until a time.
     *
     * @param until the end, on this daemon's clock; {@link Instant#MIN} if it may not decide
     */
    record AuthorityUntil(Instant until) implements RoutingInput {}

    /** The use of models is to be reported. */
    record UseReportDue() implements RoutingInput {}

    /**
     * The operators' settings changed.
     *
     * @param settings the settings in force
     */
    record SettingsInForce(FleetSettings settings) implements RoutingInput {}

    /**
     * The first byte of an answer arrived and waits to be admitted.
     *
     * @param attempt the attempt
     * @param relay the relay that waits
     * @param status the HTTP status
     * @param headers the headers to pass on
     */
    record ResponseBegan(AttemptId attempt, ResponseRelay relay, int status, List<Header> headers)
            implements RoutingInput {
        /** Copies the list. */
        public ResponseBegan {
            headers = List.copyOf(headers);
        }
    }

    /**
     * Somebody asks which models and adapters there are.
     *
     * @param reply receives their names, in order
     */
    record ModelsAsked(CompletableFuture<List<ModelName>> reply) implements RoutingInput {}

    /**
     * Somebody wants to know when no call is left.
     *
     * @param reply completes as soon as the daemon has no call
     */
    record IdleAwaited(CompletableFuture<Boolean> reply) implements RoutingInput {}
}
