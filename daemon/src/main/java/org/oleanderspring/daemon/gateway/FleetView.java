package org.oleanderspring.daemon.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.lease.LeaseValue;
import org.oleanderspring.coordination.lease.LeaseValueCodec;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.command.PrefixMirror;
import org.oleanderspring.core.organisation.query.OrganisationDirectory;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.runner.RunnerRegistration;
import org.oleanderspring.platform.codec.Decoded;
import org.oleanderspring.platform.hosted.codec.HostedRunnerCodec;

/**
 * The configuration, the registered runners and the running daemons as last read from the metadata
 * store. Each duty has a view of its own and uses it on its own thread only.
 */
public final class FleetView {
    /**
     * How long entries that were removed during an outage of the key-value service are kept after
     * its end. Entries whose lease expired during the outage are written again within about two
     * seconds.
     */
    private static final Duration ENTRY_GRACE = Duration.ofMillis(2_200);

    private static final Logger LOGGER = System.getLogger(FleetView.class.getName());

    private final String mLogPrefix;
    private final PrefixMirror<RunnerRegistration> mRunners =
            new PrefixMirror<>(ENTRY_GRACE, this::decodeRunner, FleetView::isNoReturn);
    private final PrefixMirror<LeaseHolder> mLeases =
            new PrefixMirror<>(ENTRY_GRACE, FleetView::decodeHolder);
    private @Nullable FleetConfiguration mCurrentConfiguration;
    private OrganisationDirectory mOrganisations = OrganisationDirectory.EMPTY;
    private boolean mLatestIsUnreadable;

    /** The part of the view that an update changed. */
    public enum Change {
        /** No part changed. */
        NONE,
        /** The configuration. */
        CONFIGURATION,
        /** The registered runners. */
        RUNNERS,
        /** The leases of the daemons. */
        DAEMONS
    }

    private record LeaseHolder(StoreKey key, MemberId member) {}

    /**
     * Creates an empty view.
     *
     * @param logPrefix the prefix of the view's log lines, such as {@code [gateway]}
     */
    public FleetView(String logPrefix) {
        mLogPrefix = logPrefix;
    }

    /**
     * Applies an update from the key-value service.
     *
     * @param update the update
     * @param now the current time
     * @return the part of the view that changed
     */
    public Change apply(StoreUpdate update, Instant now) {
        if (update instanceof StoreUpdate.ConfigurationRead read) {
            return applyConfiguration(read) ? Change.CONFIGURATION : Change.NONE;
        }
        if (update instanceof StoreUpdate.Confirmed
                || update.prefix().equals(GatewayKeys.CONFIGURATION)) {
            return Change.NONE;
        }
        if (update.prefix().equals(GatewayKeys.RUNNERS)) {
            return apply(mRunners, update, now) ? Change.RUNNERS : Change.NONE;
        }
        return apply(mLeases, update, now) ? Change.DAEMONS : Change.NONE;
    }

    private <V> boolean apply(PrefixMirror<V> mirror, StoreUpdate update, Instant now) {
        if (update instanceof StoreUpdate.Listed listed) {
            return mirror.listed(listed.values(), now);
        }
        if (update instanceof StoreUpdate.Changed changed) {
            return mirror.changed(changed.changes(), now);
        }
        if (update instanceof StoreUpdate.Interrupted interrupted) {
            mirror.interrupted();
            LOGGER.log(
                    Level.WARNING,
                    mLogPrefix
                            + " store-lost prefix="
                            + update.prefix()
                            + " reason=\""
                            + interrupted.reason()
                            + "\"");
            return false;
        }
        if (update instanceof StoreUpdate.Restored restored) {
            boolean isFirstContact = !mirror.isListed();
            mirror.restored(now);
            LOGGER.log(
                    isFirstContact ? Level.INFO : Level.WARNING,
                    mLogPrefix
                            + (isFirstContact ? " store-era" : " store-restored")
                            + " prefix="
                            + update.prefix()
                            + " era="
                            + restored.era());
            return false;
        }
        if (update instanceof StoreUpdate.Resumed resumed) {
            mirror.resumed(now);
            LOGGER.log(
                    Level.INFO,
                    mLogPrefix
                            + " store-regained prefix="
                            + update.prefix()
                            + " outdated-ms="
                            + resumed.outdatedFor().toMillis());
        }
        return false;
    }

    /**
     * Applies a configuration. Only a higher version replaces the current one, and the removal of
     * the key leaves it in effect. One that cannot be read leaves the current one in effect too,
     * which is then not the latest any more.
     */
    private boolean applyConfiguration(StoreUpdate.ConfigurationRead read) {
        if (!(read.configuration() instanceof Decoded.Value<FleetConfiguration> decoded)) {
            mLatestIsUnreadable = true;
            LOGGER.log(
                    Level.ERROR,
                    mLogPrefix
                            + " configuration-unreadable revision="
                            + read.revision().value()
                            + " reason=\""
                            + Decoded.problem(read.configuration())
                            + "\"");
            return false;
        }
        mLatestIsUnreadable = false;
        FleetConfiguration next = decoded.value();
        FleetConfiguration current = mCurrentConfiguration;
        if (current != null && next.version() <= current.version()) {
            return false;
        }
        mCurrentConfiguration = next;
        mOrganisations = read.organisations();
        LOGGER.log(
                Level.INFO,
                mLogPrefix
                        + " configuration-in-force version="
                        + next.version()
                        + " before="
                        + (current == null ? "none" : Long.toString(current.version()))
                        + " routes="
                        + next.routes().size()
                        + " organisations="
                        + next.organisations().size()
                        + " revision="
                        + read.revision().value());
        return true;
    }

    private Optional<RunnerRegistration> decodeRunner(StoredValue value) {
        String instance = value.key().path().substring(GatewayKeys.RUNNERS.path().length());
        Decoded<RunnerRegistration> decoded =
                HostedRunnerCodec.decodeRegistration(instance, value.bytes());
        if (decoded instanceof Decoded.Value<RunnerRegistration> entry) {
            return Optional.of(entry.value());
        }
        LOGGER.log(
                Level.WARNING,
                mLogPrefix
                        + " runner-entry-ignored key="
                        + value.key()
                        + " reason=\""
                        + Decoded.problem(decoded)
                        + "\"");
        return Optional.empty();
    }

    /**
     * Returns whether a runner's entry in a copy of the key-value service may be used at once. A
     * runner that was seen to leave, or whose entry was removed, must get no calls because an older
     * entry shows it as ready; its writer repeats the newer one within the grace period.
     */
    private static boolean isNoReturn(
            @Nullable RunnerRegistration known, RunnerRegistration restored) {
        return restored.draining()
                || (known != null && !(known.draining() && known.id().equals(restored.id())));
    }

    private static Optional<LeaseHolder> decodeHolder(StoredValue value) {
        if (!value.key().path().startsWith(GatewayKeys.LEASES.path())) {
            return Optional.empty();
        }
        return LeaseValueCodec.decode(value.bytes())
                .filter(leaseValue -> !leaseValue.isReleased())
                .map(LeaseValue::writer)
                .map(writer -> new LeaseHolder(value.key(), writer));
    }

    /**
     * Removes runners and daemons whose entries were removed during an outage of the key-value
     * service and not written again within the grace period.
     *
     * @param now the current time
     * @return whether a runner was removed
     */
    public boolean expire(Instant now) {
        mLeases.expire(now);
        return mRunners.expire(now);
    }

    /** Returns the current configuration, or null until one was read. */
    public @Nullable FleetConfiguration configuration() {
        return mCurrentConfiguration;
    }

    /** Returns the organisations of the current configuration. */
    public OrganisationDirectory organisations() {
        return mOrganisations;
    }

    /** Returns whether a configuration was written that could not be read. */
    public boolean isLatestUnreadable() {
        return mLatestIsUnreadable;
    }

    /** Returns whether the list of registered runners has been read at least once. */
    public boolean hasRunners() {
        return mRunners.isListed();
    }

    /** Returns the registered runners. */
    public List<RunnerRegistration> runners() {
        return mRunners.values();
    }

    /**
     * Returns the daemons that hold a membership lease and thus accept requests, including this
     * one.
     */
    public List<GatewayMember> members() {
        List<GatewayMember> members = new ArrayList<>();
        for (LeaseHolder holder : mLeases.values()) {
            if (GatewayKeys.isMembership(holder.key())) {
                GatewayMember.parse(holder.member()).ifPresent(members::add);
            }
        }
        return members;
    }

    /** Returns the holder of the placement lease, which alone sends orders to runners. */
    public Optional<GatewayMember> placementHolder() {
        return mLeases.value(GatewayKeys.leaseKey(GatewayKeys.PLACEMENT))
                .flatMap(holder -> GatewayMember.parse(holder.member()));
    }
}
