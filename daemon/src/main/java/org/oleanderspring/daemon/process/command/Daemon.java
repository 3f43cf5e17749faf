package org.oleanderspring.daemon.process.command;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.MemberState;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.daemon.front.command.CallHandler;
import org.oleanderspring.daemon.front.command.HttpListener;
import org.oleanderspring.daemon.front.query.EntriesHandler;
import org.oleanderspring.daemon.front.query.ModelsHandler;
import org.oleanderspring.daemon.front.query.UnknownPathHandler;
import org.oleanderspring.daemon.operator.command.SettingsApplyHandler;
import org.oleanderspring.daemon.operator.query.MetricsHandler;
import org.oleanderspring.daemon.operator.query.SettingsCheckHandler;
import org.oleanderspring.daemon.operator.query.SettingsShowHandler;
import org.oleanderspring.daemon.operator.query.StatusHandler;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.daemon.process.ProcessSettings;
import org.oleanderspring.daemon.routing.command.RoutingIntake;
import org.oleanderspring.daemon.wiring.command.RingSettingsCommands;
import org.oleanderspring.daemon.wiring.command.Rings;
import org.oleanderspring.daemon.wiring.query.RingQueries;
import org.oleanderspring.daemon.wiring.query.StatusCollector;
import org.oleanderspring.duty.query.RingUsage;

/** One daemon process: its duties, listeners and connections. */
public final class Daemon {
    private static final Logger LOGGER = System.getLogger(Daemon.class.getName());

    private final ProcessSettings mSettings;
    private final MonotonicClock mClock;
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final Rings mRings = new Rings();
    private final RingQueries mQueries = new RingQueries(mRings);
    private final HttpListener mCallerListener;
    private final HttpListener mOperatorListener;
    private @Nullable Connections mConnections;

    /**
     * Creates a daemon without opening any port.
     *
     * @param settings the validated settings
     * @param clock the clock of all duties
     */
    public Daemon(ProcessSettings settings, MonotonicClock clock) {
        mSettings = settings;
        mClock = clock;
        mCallerListener = callerListener();
        mOperatorListener = operatorListener();
        registerGauges();
    }

    /**
     * Opens the ports and starts the duties. After a failure {@link #abort} has to be called.
     *
     * @return null on success, or else the reason why the daemon could not be started
     */
    public @Nullable String start() {
        Connections.OpenResult opening = Connections.open(mSettings, mRings, mMetrics, mClock);
        if (opening instanceof Connections.OpenResult.Failed failed) {
            return portUnavailable(mSettings.peerAddress(), failed.reason());
        }
        mConnections = ((Connections.OpenResult.Opened) opening).connections();
        String failure = startListener(mOperatorListener, mSettings.operatorAddress());
        if (failure == null) {
            failure = startListener(mCallerListener, mSettings.callerAddress());
        }
        if (failure == null) {
            LOGGER.log(
                    Level.INFO,
                    "[daemon] {0} serves callers at {1} and operators at {2}.",
                    mSettings.id(),
                    mSettings.callerAddress(),
                    mSettings.operatorAddress());
        }
        return failure;
    }

    /** Closes all ports and stops all duties at once, after a failed start. */
    public void abort() {
        close();
    }

    /**
     * Stops the daemon gracefully; blocks until it has stopped. Calls that still run at the stop
     * limit are cut off.
     */
    public void stop() {
        new GracefulStop(mRings, mQueries, mSettings.stopLimit()).run();
        close();
        LOGGER.log(Level.INFO, "[daemon] {0} has stopped.", mSettings.id());
    }

    private void close() {
        closeQuietly(mCallerListener);
        closeQuietly(mOperatorListener);
        mRings.close();
        if (mConnections != null) {
            closeQuietly(mConnections);
        }
    }

    private static void closeQuietly(AutoCloseable resource) {
        try {
            resource.close();
        } catch (Exception failure) {
            LOGGER.log(
                    Level.WARNING, "[daemon] Could not close a listener or connection.", failure);
        }
    }

    private HttpListener callerListener() {
        return new HttpListener(
                "callers",
                mSettings.callerAddress(),
                List.of(
                        new CallHandler(
                                mSettings.id(),
                                new RoutingIntake(mRings),
                                mSettings.bodyLimitBytes(),
                                mClock),
                        new EntriesHandler(mQueries::directory),
                        new ModelsHandler(mQueries::models),
                        new UnknownPathHandler()));
    }

    private HttpListener operatorListener() {
        StatusCollector status = new StatusCollector(mSettings.id(), mRings, mClock);
        return new HttpListener(
                "operators",
                mSettings.operatorAddress(),
                List.of(
                        new SettingsApplyHandler(new RingSettingsCommands(mRings)),
                        new SettingsCheckHandler(mQueries),
                        new SettingsShowHandler(mQueries),
                        new StatusHandler(status::collect),
                        new MetricsHandler(mMetrics),
                        new UnknownPathHandler()));
    }

    private static @Nullable String startListener(HttpListener listener, Address address) {
        try {
            listener.start();
            return null;
        } catch (Exception unavailable) {
            return portUnavailable(address, String.valueOf(unavailable.getMessage()));
        }
    }

    private static String portUnavailable(Address address, String reason) {
        return ErrorMessage.PORT_UNAVAILABLE.format(address.toString(), reason);
    }

    private void registerGauges() {
        registerRingGauges("routing", mRings.routingThread());
        registerRingGauges("placement", mRings.placementThread());
        registerRingGauges("lease", mRings.leaseThread());
        registerRingGauges("document", mRings.documentThread());
        registerRingGauges("membership", mRings.membershipThread());
        registerRingGauges("dispatch", mRings.dispatchThread());
        registerRingGauges("report", mRings.reportThread());
    }

    private void registerRingGauges(String duty, RingUsage ring) {
        mMetrics.registerGauge("ring." + duty + ".used", (Gauge<Long>) ring::used);
        mMetrics.registerGauge("ring." + duty + ".rejected", (Gauge<Long>) ring::rejectedOffers);
    }

    /** Returns this daemon's own entry in the member list, alive and at incarnation 0. */
    static Member selfMember(ProcessSettings settings) {
        return new Member(
                settings.id(),
                settings.peerAddress(),
                settings.callerAddress(),
                settings.failureDomain().name(),
                0,
                MemberState.ALIVE);
    }
}
