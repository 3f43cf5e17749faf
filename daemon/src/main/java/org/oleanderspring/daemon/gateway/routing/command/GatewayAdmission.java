package org.oleanderspring.daemon.gateway.routing.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.organisation.AuthenticationResult;
import org.oleanderspring.core.organisation.CallerIdentity;
import org.oleanderspring.core.organisation.PresentedKey;
import org.oleanderspring.core.organisation.query.CallerAuthenticator;
import org.oleanderspring.core.organisation.query.ConfigurationProof;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.route.Route;
import org.oleanderspring.core.routing.RefusalReason;
import org.oleanderspring.core.routing.command.RoutingEvent;
import org.oleanderspring.daemon.front.Refusal;
import org.oleanderspring.daemon.gateway.StoreUpdate;
import org.oleanderspring.daemon.process.SuspendAwareClock;

/** Finds the route and the caller of requests, and the calls whose caller is no longer accepted. */
final class GatewayAdmission {
    private final HostedFleet mFleet;
    private final ConfigurationProof mProof;
    private final SuspendAwareClock mStoreClock;

    /** Whether a request becomes a call. */
    sealed interface Result {
        /** The request becomes a call. */
        record Admitted(GatewayCall call) implements Result {}

        /** The request is refused. */
        record Refused(Refusal refusal) implements Result {}
    }

    /**
     * Creates an admission.
     *
     * @param fleet the configuration
     * @param revocationLimit how long a key may be accepted after it was taken away, or null if
     *     that is not limited
     * @param storeClock the clock that proofs of the configuration refer to
     */
    GatewayAdmission(
            HostedFleet fleet, @Nullable Duration revocationLimit, SuspendAwareClock storeClock) {
        mFleet = fleet;
        mProof = new ConfigurationProof(revocationLimit);
        mStoreClock = storeClock;
    }

    /** Records a proof, unless the latest configuration is not the one in force. */
    void confirmed(StoreUpdate.Confirmed confirmed) {
        if (!mFleet.view().isLatestUnreadable()) {
            mProof.proven(confirmed.provenAt());
        }
    }

    /**
     * Returns the age of the proof in milliseconds, or -1 if there is none. Safe for any thread.
     */
    long proofAgeMillis() {
        return mProof.age(mStoreClock.now()).map(Duration::toMillis).orElse(-1L);
    }

    /** Decides about a request that has been read completely. */
    Result admit(GatewayRequest request) {
        FleetConfiguration configuration = mFleet.view().configuration();
        if (configuration == null) {
            return refused(ErrorMessage.NO_AUTHORITY);
        }
        Optional<Route> route = mFleet.findRoute(request.host(), request.pathWithoutQuery());
        if (route.isEmpty()) {
            return refused(ErrorMessage.UNKNOWN_PATH, request.pathWithoutQuery());
        }
        AuthenticationResult result =
                authenticate(route.get(), request.head().key(), mProof.isValid(mStoreClock.now()));
        if (result instanceof AuthenticationResult.Unverified) {
            return refused(ErrorMessage.KEYS_UNVERIFIED);
        }
        if (!(result instanceof AuthenticationResult.Accepted accepted)) {
            return refused(ErrorMessage.KEY_REJECTED);
        }
        int limit = configuration.limits().bodyBytes();
        if (request.body().length > limit) {
            return refused(ErrorMessage.BODY_TOO_LARGE, Integer.toString(limit));
        }
        return new Result.Admitted(
                GatewayCallFactory.newCall(request, route.get(), configuration, accepted));
    }

    private static Result refused(ErrorMessage message, Object... arguments) {
        return new Result.Refused(Refusal.notRun(message, arguments));
    }

    private AuthenticationResult authenticate(Route route, PresentedKey key, boolean isCurrent) {
        return CallerAuthenticator.authenticate(
                mFleet.view().organisations(), route.anonymous(), key, isCurrent);
    }

    /**
     * Returns an event for each call whose key the configuration in force no longer gives to the
     * organisation for which the call was accepted. A call that was accepted without a key was
     * allowed when it was sent and stays.
     */
    List<RoutingEvent> withdrawals(Collection<GatewayCall> calls) {
        List<RoutingEvent> withdrawals = new ArrayList<>();
        for (GatewayCall call : calls) {
            if (!(call.caller() instanceof CallerIdentity.Member)) {
                continue;
            }
            AuthenticationResult result =
                    authenticate(call.route(), call.request().head().key(), true);
            RefusalReason reason = withdrawalReason(call, result);
            if (reason != null) {
                withdrawals.add(new RoutingEvent.CallerWithdrawn(call.call().id(), reason));
            }
        }
        return withdrawals;
    }

    private static @Nullable RefusalReason withdrawalReason(
            GatewayCall call, AuthenticationResult result) {
        if (!(result instanceof AuthenticationResult.Accepted accepted)) {
            return RefusalReason.KEY_REJECTED;
        }
        boolean isOther =
                accepted.caller() instanceof CallerIdentity.Member
                        && !accepted.caller().equals(call.caller());
        return isOther ? RefusalReason.KEYS_UNVERIFIED : null;
    }
}
