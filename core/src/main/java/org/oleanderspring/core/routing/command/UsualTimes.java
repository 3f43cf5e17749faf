package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.routing.Target;

/**
 * The usual time to the first byte of each service, with which the time at one endpoint is
 * compared.
 *
 * <p>The average is that of the service and not of the model, because a daemon has few samples of
 * most models, and because a model with a single replica could only be compared with itself. Models
 * differ in speed by less than a slow endpoint does.
 */
final class UsualTimes {
    /** Times below this are dominated by the network and not by the endpoint. */
    private static final Duration LEAST_TIME = Duration.ofMillis(20);

    private final Map<ServiceName, ServiceTimes> mTimes = new HashMap<>();

    /** Adds a time to the first byte and returns it as a multiple of the usual one. */
    double compare(CallState call, Duration firstByte) {
        ServiceName service = serviceOf(call.request().target());
        if (service == null) {
            return 1;
        }
        ServiceTimes times = mTimes.computeIfAbsent(service, name -> new ServiceTimes());
        double slowness = ratio(firstByte, times.firstByte());
        times.recordFirstByte(firstByte);
        return slowness;
    }

    /**
     * Returns the time of an attempt that was cancelled without a response as a multiple of the
     * usual one, or empty if it is not longer than usual.
     */
    OptionalDouble compareUnanswered(CallState call, Duration elapsed) {
        ServiceName service = serviceOf(call.request().target());
        ServiceTimes times = service == null ? null : mTimes.get(service);
        double slowness = times == null ? 1 : ratio(elapsed, times.firstByte());
        return slowness > 1 ? OptionalDouble.of(slowness) : OptionalDouble.empty();
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

    private static double ratio(Duration time, Duration usual) {
        if (usual.isZero()) {
            return 1;
        }
        return (double) longer(time, LEAST_TIME).toNanos() / longer(usual, LEAST_TIME).toNanos();
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
