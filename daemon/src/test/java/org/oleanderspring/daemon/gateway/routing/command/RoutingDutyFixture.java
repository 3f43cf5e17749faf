package org.oleanderspring.daemon.gateway.routing.command;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ModelReference;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.load.EndpointUse;
import org.oleanderspring.core.organisation.ApiKeyDigest;
import org.oleanderspring.core.organisation.PresentedKey;
import org.oleanderspring.core.port.EndpointCall;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.core.port.RequestHead;
import org.oleanderspring.core.port.command.ResponseListener;
import org.oleanderspring.core.port.command.RunningAttempt;
import org.oleanderspring.core.quarantine.Prompt;
import org.oleanderspring.core.quarantine.PromptPattern;
import org.oleanderspring.core.quarantine.SuspectCall;
import org.oleanderspring.core.quarantine.query.Quarantine;
import org.oleanderspring.core.residency.ModelDemand;
import org.oleanderspring.core.residency.Residency;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.Target;
import org.oleanderspring.core.routing.command.DefaultRoutingDecider;
import org.oleanderspring.core.routing.command.LeastLoadedSelector;
import org.oleanderspring.core.routing.command.RefuseLateStartPolicy;
import org.oleanderspring.core.routing.command.ResumingRetryPolicy;
import org.oleanderspring.core.routing.command.SafeRetryPolicy;
import org.oleanderspring.core.runner.LoadedModel;
import org.oleanderspring.core.runner.RunnerRegistration;
import org.oleanderspring.daemon.front.Refusal;
import org.oleanderspring.daemon.front.ResponseStream;
import org.oleanderspring.daemon.gateway.GatewayKeys;
import org.oleanderspring.daemon.gateway.GatewayMember;
import org.oleanderspring.daemon.gateway.GatewaySettings;
import org.oleanderspring.daemon.gateway.SampleSettings;
import org.oleanderspring.daemon.gateway.StoreUpdate;
import org.oleanderspring.daemon.gateway.routing.query.CallerPresence;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.daemon.process.SuspendAwareClock;
import org.oleanderspring.duty.command.OfferResult;

/**
 * A routing duty without a thread, ports or connections. A test hands it the events in the order in
 * which they would lie in its ring.
 */
final class RoutingDutyFixture {
    private static final Address ADDRESS = new Address("127.0.0.1", 9);
    private static final ServiceName SERVICE = new ServiceName("engine");
    private static final String CONFIGURATION =
            """
            {"version":1,"routes":[
              {"name":"stream","host":"a.example","prefix":"/stream/","routeType":"streaming",
               "timeoutMs":9000,"targetLatencyMs":500,"priority":1,"service":"engine",
               "maxAttempts":3,"sticky":true,"resumable":true}],
             "services":[{"name":"engine","healthPath":"/healthz","maxConnections":100,
               "engine":{"slots":4,"kvCapacityTokens":1000,"weightsMb":100,"adapterSlots":2,
                "loadsPerS":50,"models":[
                 {"name":"m1","weightsMb":60,"loadS":0.15,"adapters":0,"adapterMb":1}]}}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,
              "idleTimeoutMs":15000}}
            """;
    private static final String ENTRY =
            """
            {"service":"engine","address":"127.0.0.1:9","zone":"east","version":1,"slots":4,
             "state":"ready","coldRemainingMs":0,"seq":0,"born":1700000000000,
             "models":[],"available":{"inMemory":[],"onDisk":["m1"]}}
            """;

    /** The attempts that were sent, in their order. */
    final List<EndpointCall> mSent = new ArrayList<>();

    /** What callers received, in its order. */
    final List<String> mAnswers = new ArrayList<>();

    private final Deque<GatewayRoutingInput> mRing = new ArrayDeque<>();
    private final SuspendAwareClock mStoreClock;
    private final GatewayRoutingDuty mDuty;
    private long mStatements;

    RoutingDutyFixture() {
        this(Clock.systemUTC(), null);
    }

    /**
     * Creates the duty.
     *
     * @param wallClock the clock by which the age of proofs is measured
     * @param revocationLimit how long a key may be accepted after it was taken away, or null
     */
    RoutingDutyFixture(Clock wallClock, @Nullable Duration revocationLimit) {
        mStoreClock = new SuspendAwareClock(wallClock);
        mDuty = newDuty(revocationLimit);
        handle(new GatewayRoutingInput.QuarantineChanged(Quarantine.NONE));
        put(GatewayKeys.CONFIGURATION, GatewayKeys.CONFIGURATION.path(), CONFIGURATION);
        put(GatewayKeys.RUNNERS, GatewayKeys.RUNNERS.path() + "i-1", ENTRY);
    }

    private GatewayRoutingDuty newDuty(@Nullable Duration revocationLimit) {
        GatewaySettings settings =
                SampleSettings.at(ADDRESS, ADDRESS, Duration.ofMillis(50), revocationLimit);
        return new GatewayRoutingDuty(
                settings,
                new DefaultRoutingDecider(
                        new LeastLoadedSelector(1),
                        new RefuseLateStartPolicy(),
                        new ResumingRetryPolicy(new SafeRetryPolicy())),
                new GatewayPorts(
                        this::send,
                        new SilentNotifier(),
                        (issuer, request) -> {},
                        (issuer, request) -> {},
                        new SilentObserver()),
                new GatewayMeters(new MetricRegistry()),
                new MonotonicClock(Clock.systemUTC()),
                mStoreClock,
                input -> {
                    mRing.add(input);
                    return OfferResult.ACCEPTED;
                });
    }

    private RunningAttempt send(EndpointCall call, ResponseListener listener) {
        mSent.add(call);
        return () -> {};
    }

    private void put(StoreKey prefix, String key, String value) {
        StoredValue stored =
                new StoredValue(
                        new StoreKey(key), value.getBytes(StandardCharsets.UTF_8), new Revision(1));
        StoreUpdate update =
                prefix.equals(GatewayKeys.CONFIGURATION)
                        ? StoreUpdate.ConfigurationRead.of(stored, problem -> {})
                        : new StoreUpdate.Listed(prefix, List.of(stored));
        handle(new GatewayRoutingInput.StoreChanged(update));
    }

    void handle(GatewayRoutingInput input) {
        mRing.add(input);
        while (!mRing.isEmpty()) {
            mDuty.handle(mRing.remove());
        }
    }

    /**
     * A configuration was read.
     *
     * @param version its version
     * @param organisations the JSON of its organisations
     */
    void configure(int version, String organisations) {
        put(
                GatewayKeys.CONFIGURATION,
                GatewayKeys.CONFIGURATION.path(),
                CONFIGURATION.replaceFirst(
                        "\"version\":1", "\"version\":" + version + organisations));
    }

    /** The configuration was the latest one at a time before now. */
    void confirm(Duration before) {
        handle(
                new GatewayRoutingInput.StoreChanged(
                        new StoreUpdate.Confirmed(
                                GatewayKeys.CONFIGURATION, mStoreClock.now().minus(before))));
    }

    /** A request for the model "m1" has been read. */
    void request(long id, CallerPresence caller) {
        request(id, caller, new PresentedKey.None());
    }

    /** A request with a key for the model "m1" has been read. */
    void request(long id, String key) {
        request(id, () -> false, new PresentedKey.Given(ApiKeyDigest.of(key)));
    }

    private void request(long id, CallerPresence caller, PresentedKey key) {
        handle(
                new GatewayRoutingInput.RequestRead(
                        new GatewayRequest(
                                new CallId(id),
                                "a.example",
                                "POST",
                                "/stream/1",
                                List.of(),
                                new RequestHead(
                                        "attempt-" + id,
                                        null,
                                        ModelReference.parse("m1"),
                                        0,
                                        Prompt.UNKNOWN,
                                        null,
                                        key),
                                new byte[0],
                                new MonotonicClock(Clock.systemUTC()).now(),
                                new RecordingStream(id),
                                caller)));
    }

    /** The holder of the placement states that the runner has loaded the model "m1". */
    void stateLoaded() {
        mStatements++;
        handle(
                new GatewayRoutingInput.ResidencyReceived(
                        new Residency(
                                new EndpointId("i-1@1700000000000"),
                                new FencingToken(1),
                                mStatements,
                                mStatements,
                                List.of(new LoadedModel(new ModelName("m1"), Set.of())),
                                Set.of())));
    }

    /** Records what one caller receives. */
    private final class RecordingStream implements ResponseStream {
        private final long mId;

        RecordingStream(long id) {
            mId = id;
        }

        private void record(String answer) {
            mAnswers.add(mId + " " + answer);
        }

        @Override
        public void begin(int status, List<Header> headers) {
            record("status " + status);
        }

        @Override
        public void write(byte[] bytes, Runnable written) {
            record("part");
            written.run();
        }

        @Override
        public void finish() {
            record("end");
        }

        @Override
        public void refuse(Refusal refusal) {
            record("refused " + refusal.message());
        }

        @Override
        public void abandon() {
            record("abandoned");
        }
    }

    /** Sends no messages. */
    private static final class SilentNotifier implements PlacementNotifier {
        @Override
        public void reportDemand(
                GatewayMember holder, ServiceName service, List<ModelDemand> demands) {}

        @Override
        public void requestLoad(
                GatewayMember holder,
                Target.ServiceModelTarget target,
                int waiting,
                Duration untilDeadline) {}

        @Override
        public void reportEndpointUse(GatewayMember holder, List<EndpointUse> uses) {}
    }

    /** Observes nothing. */
    private static final class SilentObserver implements PromptObserver {
        @Override
        public void answerBroken(RunnerRegistration runner, SuspectCall call) {}

        @Override
        public void callsAnswered(Set<Prompt> prompts) {}

        @Override
        public void callsRefused(Set<PromptPattern> patterns) {}
    }
}
