package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.organisation.TokenCount;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.Target;

/**
 * Compares times to the first event with the usual one, to find the pace of endpoints.
 *
 * <p>The usual time is that of the service, because a daemon has few samples of most models. It is
 * divided by the size of the prompt, as far as callers name it. Models differ in speed as much as
 * endpoints do. The factor of each model is what remains after the pace of the endpoint, as all
 * daemons measured it, is taken out; see {@link #MODEL_SHARE} for a model with a single replica.
 *
 * <p>All averages are of logarithms and limit the effect of one sample, because a few calls take a
 * hundred times as long as most.
 */
final class PaceObserver {
    /** Times below this are dominated by the network and not by the endpoint. */
    private static final Duration LEAST_TIME = Duration.ofMillis(20);

    /** The time to the first event that does not depend on the prompt, in tokens of a prompt. */
    private static final double FIXED_TOKENS = 256;

    /** A service without this number of samples has no usual time. */
    private static final int LEAST_SAMPLES = 2;

    /** The limits of a sample; an endpoint beyond them needs no exact value. */
    private static final double LOWEST_SAMPLE = 0.25;

    private static final double HIGHEST_SAMPLE = 16;

    /**
     * The share of a lasting deviation that counts as the factor of a model. Below 1, so that what
     * may be due to either the model or its only endpoint ends up with the endpoint.
     */
    private static final double MODEL_SHARE = 0.8;

    /** The samples without deviation with which a model begins; its endpoints are learned first. */
    private static final int MODEL_PRIOR_SAMPLES = 8;

    /** The models of which a factor is kept; beyond this number all begin anew. */
    private static final int MAX_MODELS = 10_000;

    private final Map<ServiceName, LogAverage> mUsual = new HashMap<>();
    private final Map<Target, LogAverage> mModels = new HashMap<>();

    /**
     * Adds the time to the first event of a call.
     *
     * @param service the service of the call
     * @param request the call
     * @param firstEvent the time
     * @param knownPace the pace of the endpoint as far as it is known; 1 if it is not
     * @return the pace that the time shows, or empty while too few times are known
     */
    OptionalDouble add(
            ServiceName service, CallRequest request, Duration firstEvent, double knownPace) {
        LogAverage usual = mUsual.computeIfAbsent(service, name -> new LogAverage(0));
        OptionalDouble pace = compare(service, request, firstEvent);
        double sample = sample(request, firstEvent);
        double ofModel = modelFactor(request.target());
        if (pace.isPresent()) {
            double rest = sample - usual.value() - Math.log(knownPace);
            model(request.target()).add(MODEL_SHARE * rest);
        }
        usual.add(sample - ofModel);
        return pace;
    }

    /** Returns the pace that a time shows, without adding it; empty if too few are known. */
    OptionalDouble compare(ServiceName service, CallRequest request, Duration firstEvent) {
        LogAverage usual = mUsual.get(service);
        if (usual == null || usual.samples() < LEAST_SAMPLES) {
            return OptionalDouble.empty();
        }
        double deviation =
                sample(request, firstEvent) - usual.value() - modelFactor(request.target());
        return OptionalDouble.of(
                Math.max(LOWEST_SAMPLE, Math.min(HIGHEST_SAMPLE, Math.exp(deviation))));
    }

    private LogAverage model(Target target) {
        if (mModels.size() >= MAX_MODELS && !mModels.containsKey(target)) {
            mModels.clear();
        }
        return mModels.computeIfAbsent(target, key -> new LogAverage(MODEL_PRIOR_SAMPLES));
    }

    private double modelFactor(Target target) {
        LogAverage model = mModels.get(target);
        return model == null ? 0 : model.value();
    }

    private static double sample(CallRequest request, Duration firstEvent) {
        TokenCount tokens = request.origin().tokens();
        double size = tokens == null ? FIXED_TOKENS : FIXED_TOKENS + tokens.prompt();
        return Math.log(Math.max(firstEvent.toNanos(), LEAST_TIME.toNanos()) / size);
    }
}
