package org.oleanderspring.daemon.gateway.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.directory.DaemonListing;
import org.oleanderspring.core.directory.DirectoryCaller;
import org.oleanderspring.core.directory.query.AddressSelection;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.StatedLimit;
import org.oleanderspring.core.residency.Residency;
import org.oleanderspring.core.residency.query.HostedRoutingTableBuilder;
import org.oleanderspring.core.residency.query.ResidencyView;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.route.Route;
import org.oleanderspring.core.route.query.RouteIndex;
import org.oleanderspring.core.routing.Replica;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.routing.command.RoutingEvent;
import org.oleanderspring.core.runner.RunnerRegistration;
import org.oleanderspring.daemon.gateway.FleetView;
import org.oleanderspring.daemon.gateway.GatewayMember;
import org.oleanderspring.daemon.gateway.StoreUpdate;

/**
 * What the gateway's routing duty knows of the fleet: the configuration, the daemons, the
 * registered runners and the models that they hold. Each change is turned into the event that tells
 * the routing decider which targets it affects.
 */
final class HostedFleet {
    /** Longer than a runner serves after it has said that it leaves. */
    private static final Duration LEAVING_RETENTION = Duration.ofMinutes(10);

    private final FleetView mView = new FleetView("[gateway]");
    private final ResidencyView mResidency = new ResidencyView();
    private final Map<EndpointId, RunnerRegistration> mRunners = new HashMap<>();

    /** The runners that have said that they leave, and when this was last heard. */
    private final Map<EndpointId, Instant> mLeaving = new HashMap<>();

    /** What the registered runners have last said about their limit, if they have named one. */
    private final Map<EndpointId, StatedLimit> mLimits = new HashMap<>();

    private @Nullable RouteIndex mRoutes;
    private @Nullable HostedRoutingTableBuilder mTableBuilder;

    FleetView view() {
        return mView;
    }

    boolean hasConfiguration() {
        return mView.configuration() != null;
    }

    /** Returns whether the configuration and the registered runners have been read. */
    boolean isKnown() {
        return hasConfiguration() && mView.hasRunners();
    }

    @Nullable RunnerRegistration runner(EndpointId id) {
        return mRunners.get(id);
    }

    /** Returns whether a runner is about to shut down, or is no longer registered. */
    boolean isLeaving(EndpointId id) {
        RunnerRegistration runner = mRunners.get(id);
        return runner == null || runner.draining() || mLeaving.containsKey(id);
    }

    /** Returns whether a runner has named a limit of the rate of its requests. */
    boolean isLimited(EndpointId id) {
        return mLimits.containsKey(id);
    }

    /**
     * Records the limit that a runner names. Returns whether this differs from what was known.
     *
     * @param id the runner
     * @param limit what it says; an unreadable limit changes nothing but is recorded
     */
    boolean limitStated(EndpointId id, StatedLimit limit) {
        if (limit instanceof StatedLimit.Unlimited) {
            return mLimits.remove(id) != null;
        }
        boolean isKnown = limit instanceof StatedLimit.Unreadable && mLimits.containsKey(id);
        return !isKnown && !limit.equals(mLimits.put(id, limit));
    }

    /**
     * Records that a runner has said that it leaves. Returns whether that was not known.
     *
     * @param id the runner
     * @param now the current time
     */
    boolean markLeaving(EndpointId id, Instant now) {
        return mLeaving.put(id, now) == null && !isDraining(id);
    }

    private boolean isDraining(EndpointId id) {
        RunnerRegistration runner = mRunners.get(id);
        return runner != null && runner.draining();
    }

    Optional<Route> findRoute(String host, String path) {
        return mRoutes == null ? Optional.empty() : mRoutes.find(host, path);
    }

    /**
     * Returns the addresses at which a client may connect.
     *
     * @param self this daemon
     * @param includesSelf whether clients may connect to it
     * @param caller the client
     */
    List<String> addresses(GatewayMember self, boolean includesSelf, DirectoryCaller caller) {
        List<DaemonListing> daemons = new ArrayList<>();
        for (GatewayMember member : mView.members()) {
            if (!member.equals(self)) {
                daemons.add(member.listing());
            }
        }
        if (includesSelf) {
            daemons.add(self.listing());
        }
        return AddressSelection.select(daemons, caller);
    }

    /** Applies an update from the key-value service. Returns the change of the table, if any. */
    Optional<RoutingEvent> apply(StoreUpdate update, Instant now) {
        FleetView.Change change = mView.apply(update, now);
        FleetConfiguration configuration = mView.configuration();
        if (configuration == null) {
            return Optional.empty();
        }
        if (change == FleetView.Change.CONFIGURATION) {
            mRoutes = new RouteIndex(configuration);
            mTableBuilder = new HostedRoutingTableBuilder(configuration);
            return Optional.of(
                    new RoutingEvent.TableChanged(
                            mTableBuilder.build(applyRunners(now), mResidency, now)));
        }
        return change == FleetView.Change.RUNNERS ? runnersChanged(now) : Optional.empty();
    }

    /** Applies a statement about one runner. Returns the change of the table, if any. */
    Optional<RoutingEvent> apply(Residency residency, Instant now) {
        RunnerRegistration runner = mRunners.get(residency.runner());
        HostedRoutingTableBuilder builder = mTableBuilder;
        boolean isNew = mResidency.applyStatement(residency, now);
        if (!isNew || runner == null || builder == null) {
            return Optional.empty();
        }
        return changeOf(builder.update(runner, mResidency, now));
    }

    /** Removes entries whose grace period is over. Returns the change of the table, if any. */
    Optional<RoutingEvent> expire(Instant now) {
        mLeaving.values().removeIf(at -> at.plus(LEAVING_RETENTION).isBefore(now));
        return mView.expire(now) ? runnersChanged(now) : Optional.empty();
    }

    private Optional<RoutingEvent> runnersChanged(Instant now) {
        HostedRoutingTableBuilder builder = mTableBuilder;
        return builder == null
                ? Optional.empty()
                : changeOf(builder.update(applyRunners(now), mResidency, now));
    }

    private List<RunnerRegistration> applyRunners(Instant now) {
        List<RunnerRegistration> runners = mView.runners();
        mRunners.clear();
        runners.forEach(runner -> mRunners.put(runner.id(), runner));
        mLimits.keySet().retainAll(mRunners.keySet());
        mResidency.applyRegistrations(runners, now);
        return runners;
    }

    private static Optional<RoutingEvent> changeOf(Map<Target, List<Replica>> replicas) {
        return replicas.isEmpty()
                ? Optional.empty()
                : Optional.of(new RoutingEvent.ReplicasChanged(replicas));
    }
}
