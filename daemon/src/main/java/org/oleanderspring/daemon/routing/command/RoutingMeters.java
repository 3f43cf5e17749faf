package org.oleanderspring.daemon.routing.command;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.oleanderspring.core.routing.RefusalReason;

/** The metrics of the routing duty. */
public final class RoutingMeters {
    private final Meter mServed;
    private final Meter mAttempts;
    private final Meter mActivations;
    private final Map<RefusalReason, Meter> mRefused = new EnumMap<>(RefusalReason.class);

    /**
     * Registers the metrics.
     *
     * @param registry the registry
     */
    public RoutingMeters(MetricRegistry registry) {
        mServed = registry.meter("routing.served");
        mAttempts = registry.meter("routing.attempts");
        mActivations = registry.meter("routing.wakes");
        for (RefusalReason reason : RefusalReason.values()) {
            String name = "routing.refused." + reason.name().toLowerCase(Locale.ROOT);
            mRefused.put(reason, registry.meter(name));
        }
    }

    /** Counts a call whose response was completed. */
    public void served() {
        mServed.mark();
    }

    /** Counts the start of an attempt. */
    public void attemptStarted() {
        mAttempts.mark();
    }

    /** Counts a request to activate a model, that is, to load it for waiting calls. */
    public void activationRequested() {
        mActivations.mark();
    }

    /**
     * Counts a refusal.
     *
     * @param reason the reason for the refusal
     */
    public void refused(RefusalReason reason) {
        Meter meter = mRefused.get(reason);
        if (meter != null) {
            meter.mark();
        }
    }
}
