package org.oleanderspring.core.residency.command;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.FailureDomain;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.residency.ResidencyOrder;
import org.oleanderspring.core.residency.ResidencyOrderKind;
import org.oleanderspring.core.residency.ResidencyOrderReply;
import org.oleanderspring.core.route.EngineDescription;
import org.oleanderspring.core.runner.CachedWeights;
import org.oleanderspring.core.runner.LoadedModel;
import org.oleanderspring.core.runner.RunnerRegistration;
import org.oleanderspring.core.runner.RunnerState;

/**
 * A runner that behaves as the platform specifies. It fails the test where a real runner would
 * crash.
 */
final class SimulatedRunner {
    private static final Duration UNLOAD_TIME = Duration.ofMillis(70);
    private static final Duration LOAD_TIME = Duration.ofMillis(600);
    private static final Duration ADAPTER_TIME = Duration.ofMillis(8);

    private final EndpointId mId;
    private final ServiceName mService;
    private final EngineDescription mEngine;
    private final Map<ModelName, Set<String>> mHeld = new TreeMap<>();
    private final Map<ModelReference, Instant> mIncoming = new HashMap<>();
    private final Set<ModelName> mCopies = new HashSet<>();
    private long mOrders;
    private ResidencyOrder mRunning;
    private Instant mRunningUntil = Instant.MIN;

    SimulatedRunner(String id, ServiceName service, EngineDescription engine) {
        mId = new EndpointId(id);
        mService = service;
        mEngine = engine;
    }

    EndpointId id() {
        return mId;
    }

    /** Puts a copy of a model's weights on the runner's disk. */
    void addCopy(ModelName model) {
        mCopies.add(model);
    }

    /** Loads a model without an order. */
    void hold(ModelReference model) {
        mHeld.put(model.base(), new HashSet<>());
    }

    boolean holds(ModelReference model) {
        Set<String> adapters = mHeld.get(model.base());
        return adapters != null && (model.adapter() == null || adapters.contains(model.adapter()));
    }

    void advance(Instant now) {
        if (mRunning != null && !now.isBefore(mRunningUntil)) {
            ModelName model = mRunning.model().base();
            if (mRunning.kind() == ResidencyOrderKind.LOAD) {
                mHeld.put(model, new HashSet<>());
                mCopies.add(model);
            } else {
                mHeld.remove(model);
            }
            mRunning = null;
        }
        mIncoming
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean arrived = !now.isBefore(entry.getValue());
                            Set<String> adapters = mHeld.get(entry.getKey().base());
                            if (arrived && adapters != null) {
                                adapters.add(entry.getKey().adapter());
                            }
                            return arrived;
                        });
    }

    ResidencyOrderReply order(ResidencyOrder order, Instant now) {
        advance(now);
        if (mRunning != null || order.expectedOrders() != mOrders) {
            return ResidencyOrderReply.CONFLICT;
        }
        return order.isForAdapter() ? orderAdapter(order, now) : orderModel(order, now);
    }

    private ResidencyOrderReply orderModel(ResidencyOrder order, Instant now) {
        boolean load = order.kind() == ResidencyOrderKind.LOAD;
        ModelName model = order.model().base();
        if (mHeld.containsKey(model) == load) {
            return ResidencyOrderReply.FULFILLED;
        }
        if (load && megabytes(model) > free()) {
            throw new AssertionError("runner " + mId + " crashes: not enough memory for " + order);
        }
        mOrders++;
        mRunning = order;
        mRunningUntil = now.plus(load ? LOAD_TIME : UNLOAD_TIME);
        return ResidencyOrderReply.ACCEPTED;
    }

    private ResidencyOrderReply orderAdapter(ResidencyOrder order, Instant now) {
        Set<String> adapters = mHeld.get(order.model().base());
        if (adapters == null) {
            return ResidencyOrderReply.INVALID;
        }
        if (order.kind() == ResidencyOrderKind.UNLOAD) {
            adapters.remove(order.model().adapter());
            mOrders++;
            return ResidencyOrderReply.FULFILLED;
        }
        if (adapters.contains(order.model().adapter())) {
            return ResidencyOrderReply.FULFILLED;
        }
        if (adapterCount() >= mEngine.adapterSlots()) {
            throw new AssertionError(
                    "runner " + mId + " crashes: no free adapter slot for " + order);
        }
        mOrders++;
        mIncoming.put(order.model(), now.plus(ADAPTER_TIME));
        return ResidencyOrderReply.ACCEPTED;
    }

    private int adapterCount() {
        return mIncoming.size() + mHeld.values().stream().mapToInt(Set::size).sum();
    }

    private double free() {
        double used = 0;
        for (Map.Entry<ModelName, Set<String>> held : mHeld.entrySet()) {
            double adapter = mEngine.models().get(held.getKey()).adapterMegabytes();
            used += megabytes(held.getKey()) + adapter * held.getValue().size();
        }
        for (ModelReference adapter : mIncoming.keySet()) {
            used += mEngine.models().get(adapter.base()).adapterMegabytes();
        }
        return mEngine.memoryMegabytes() - used;
    }

    private double megabytes(ModelName model) {
        return mEngine.models().get(model).weightMegabytes();
    }

    private List<LoadedModel> models() {
        return mHeld.entrySet().stream()
                .map(entry -> new LoadedModel(entry.getKey(), entry.getValue()))
                .toList();
    }

    RunnerState state(Instant now) {
        advance(now);
        return new RunnerState(
                models(),
                mIncoming.keySet(),
                new CachedWeights(Set.of(), mCopies),
                mRunning != null,
                mOrders,
                0,
                0);
    }

    RunnerRegistration entry(Instant now) {
        advance(now);
        return new RunnerRegistration(
                mId,
                mId.value(),
                mService,
                new Address("10.0.0.1", 80),
                new FailureDomain("east"),
                4,
                false,
                null,
                models(),
                new CachedWeights(Set.of(), mCopies));
    }
}
