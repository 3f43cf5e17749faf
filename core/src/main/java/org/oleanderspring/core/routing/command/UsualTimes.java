package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.routing.Target;

/** The usual times of each service, with which those at one endpoint are compared. */
final class UsualTimes {
    private final PaceObserver mPaces = new PaceObserver();
    private final Map<ServiceName, ServiceTimes> mTimes = new HashMap<>();

    /**
     * Adds a time to the first byte of a response.
     *
     * @param knownPace the pace of the endpoint as far as it is known; 1 if it is not
     * @return the pace that it shows, or empty while too few times are known
     */
    OptionalDouble compare(CallState call, Duration firstByte, double knownPace) {
        ServiceName service = serviceOf(call.request().target());
        return service == null
                ? OptionalDouble.empty()
                : mPaces.add(service, call.request(), firstByte, knownPace);
    }

    /**
     * Returns the pace that an attempt shows that was cancelled without a response, or empty if it
     * did not last longer than usual.
     */
    OptionalDouble compareUnanswered(CallState call, Duration elapsed) {
        ServiceName service = serviceOf(call.request().target());
        if (service == null) {
            return OptionalDouble.empty();
        }
        OptionalDouble pace = mPaces.compare(service, call.request(), elapsed);
        return pace.orElse(1) > 1 ? pace : OptionalDouble.empty();
    }

    /** Adds the time from the start of an attempt to its end. */
    void recordTotalTime(CallState call, Duration time) {
        ServiceName service = serviceOf(call.request().target());
        if (service != null) {
            mTimes.computeIfAbsent(service, name -> new ServiceTimes()).recordTotalTime(time);
        }
    }

    /** Returns the longer of the average times of the call's target and of its service. */
    Duration total(CallState call) {
        ServiceName service = serviceOf(call.request().target());
        ServiceTimes times = service == null ? null : mTimes.get(service);
        Duration ofTarget = call.target().times().total();
        return times == null ? ofTarget : longer(ofTarget, times.total());
    }

    private static Duration longer(Duration first, Duration second) {
        return first.compareTo(second) >= 0 ? first : second;
    }

    private static @Nullable ServiceName serviceOf(Target target) {
        if (target instanceof Target.ServiceModelTarget model) {
            return model.service();
        }
        return target instanceof Target.ServiceTarget service ? service.service() : null;
    }
}
