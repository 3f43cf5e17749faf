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

/** An event in the ring of the routing duty. */
public sealed interface RoutingInput {
    /**
     * An event that is passed to the routing decider.
     *
     * @param event the event
     */
    record Event(RoutingEvent event) implements RoutingInput {}

    /**
     * The front end accepted a call.
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
     * The catalogue of the weight store was read.
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
     * A placement plan came into force.
     *
     * @param plan the plan of one cell
     */
    record PlanChanged(Plan plan) implements RoutingInput {}

    /**
     * The number of daemons that share the capacity of the runners changed.
     *
     * @param daemons the number of live daemons, at least 1
     */
    record DaemonCountChanged(int daemons) implements RoutingInput {}

    /**
     * The time changed until which the daemon may make decisions by its current settings.
     *
     * @param until the end of that time, on this daemon's clock; {@link Instant#MIN} if it may make
     *     none
     */
    record AuthorityChanged(Instant until) implements RoutingInput {}

    /** The next report of the use of models is due. */
    record UseReportDue() implements RoutingInput {}

    /**
     * The operators' settings changed.
     *
     * @param settings the current settings
     */
    record SettingsChanged(FleetSettings settings) implements RoutingInput {}

    /**
     * The first byte of a response arrived; the response is to be admitted or denied.
     *
     * @param attempt the attempt
     * @param relay the relay, which holds the response back until then
     * @param status the HTTP status
     * @param headers the header fields to forward
     */
    record ResponseBegan(AttemptId attempt, ResponseRelay relay, int status, List<Header> headers)
            implements RoutingInput {
        /** Copies the list. */
        public ResponseBegan {
            headers = List.copyOf(headers);
        }
    }

    /**
     * A query for the names of all models and adapters.
     *
     * @param reply completed with the names in natural order
     */
    record ModelsRequested(CompletableFuture<List<ModelName>> reply) implements RoutingInput {}

    /**
     * The sender waits until no call is in progress.
     *
     * @param reply completed with true as soon as there is none
     */
    record IdleAwaited(CompletableFuture<Boolean> reply) implements RoutingInput {}
}
