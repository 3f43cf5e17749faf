package org.oleanderspring.daemon.gateway.routing.command;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.time.Duration;
import java.util.Locale;
import java.util.function.LongSupplier;
import org.oleanderspring.core.fleet.FailureDomain;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.organisation.CallerIdentity;
import org.oleanderspring.core.organisation.query.OrganisationDirectory;
import org.oleanderspring.core.permit.PermitGrant;
import org.oleanderspring.core.quarantine.PromptPattern;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.Target;

/** The metrics of the gateway's routing duty. */
public final class GatewayMeters {
    private final MetricRegistry mRegistry;
    private final Counter mAttempts;
    private final Counter mCallersDisconnected;
    private final Counter mLoadRequests;
    private final Counter mRefusedServable;
    private final Timer mServed;
    private final OrganisationMeters mOrganisations;

    /**
     * Registers the metrics.
     *
     * @param registry the registry
     */
    public GatewayMeters(MetricRegistry registry) {
        mRegistry = registry;
        mAttempts = registry.counter("gateway.attempts.started");
        mCallersDisconnected = registry.counter("gateway.callers.left");
        mLoadRequests = registry.counter("gateway.loads.requested");
        mRefusedServable = registry.counter("gateway.refused.servable");
        mServed = registry.timer("gateway.requests.served");
        mOrganisations = new OrganisationMeters(registry);
    }

    /**
     * Registers the age of the proof that the configuration in force is the latest one.
     *
     * @param millis returns the age, or -1 without a proof; called by any thread
     */
    void registerProofAge(LongSupplier millis) {
        mRegistry.gauge(
                "gateway.configuration.proof_age_ms", () -> (Gauge<Long>) millis::getAsLong);
    }

    /** A configuration came into force. */
    void configured(OrganisationDirectory organisations) {
        mOrganisations.configured(organisations);
    }

    /** A request became a call. */
    void admitted(CallerIdentity caller) {
        mOrganisations.admitted(caller);
    }

    /** Counts an attempt by the failure domains of this daemon and of the runner. */
    void attemptBetween(FailureDomain own, FailureDomain other) {
        mRegistry.counter("gateway.domains." + own + "." + other).inc();
    }

    /** Returns the registry, for parts of the routing duty that count events of their own. */
    MetricRegistry registry() {
        return mRegistry;
    }

    void attemptStarted() {
        mAttempts.inc();
    }

    void attemptEnded(AttemptOutcome outcome) {
        // The name of the outcome's record is a part of the metric's name.
        String kind = outcome.getClass().getSimpleName().toLowerCase(Locale.ROOT);
        mRegistry.counter("gateway.attempts." + kind).inc();
    }

    void refused(ErrorMessage message) {
        mRegistry.counter("gateway.refused." + message.name().toLowerCase(Locale.ROOT)).inc();
    }

    /** Sets the number of calls that an estimate refused although they could have been served. */
    void refusedServable(long total) {
        mRefusedServable.inc(total - mRefusedServable.getCount());
    }

    void served(Target target, Duration elapsed) {
        mServed.update(elapsed);
        countByModel("served", target);
    }

    /** Counts a call for a known target that ended without a complete response. */
    void unserved(Target target) {
        countByModel("unserved", target);
    }

    private void countByModel(String outcome, Target target) {
        if (target instanceof Target.ServiceModelTarget model) {
            String name =
                    MetricRegistry.name(
                            "gateway.model",
                            outcome,
                            model.service().value(),
                            model.model().toString());
            mRegistry.counter(name).inc();
        }
    }

    /**
     * Counts a call that was refused because of its prompt. There are few of these metrics, because
     * several runners crash before a pattern is decided.
     */
    void quarantined(PromptPattern pattern) {
        mRegistry.counter("gateway.quarantined." + pattern.id()).inc();
    }

    void callerDisconnected() {
        mCallersDisconnected.inc();
    }

    /** Counts permits that were granted, and replies without any. */
    void permitsReceived(PermitGrant grant) {
        mRegistry.counter("gateway.permits.granted").inc(grant.startsIn().size());
        if (grant.startsIn().isEmpty()) {
            mRegistry.counter("gateway.permits.deferred").inc();
        }
    }

    void loadRequested() {
        mLoadRequests.inc();
    }

    /** Counts a runner that has said that it leaves before its registration said so. */
    void runnerLeaves() {
        mRegistry.counter("gateway.runners.leaving").inc();
    }

    /** Counts a response in which a runner that turned a request away says for how long. */
    void runnerPauses() {
        mRegistry.counter("gateway.runners.pauses").inc();
    }
}
