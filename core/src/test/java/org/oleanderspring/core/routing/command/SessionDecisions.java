package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Locale;

/**
 * Formats decisions as lines of a golden session file, with deadlines in milliseconds since the
 * start of the session. A line begins with the first word of the decision's name, except that
 * {@code claim} stands for {@link RoutingDecision.RecordDispatch} and {@code wake} for {@link
 * RoutingDecision.RequestActivation}.
 */
final class SessionDecisions {
    private SessionDecisions() {}

    static String format(RoutingDecision decision, Instant sessionStart) {
        if (decision instanceof RoutingDecision.StartAttempt start) {
            long deadlineMillis = Duration.between(sessionStart, start.deadline()).toMillis();
            String attempt =
                    start.attempt() + " on " + start.endpoint() + " until " + deadlineMillis;
            return "start " + attempt + ": " + start.reason();
        }
        if (decision instanceof RoutingDecision.CancelAttempt cancel) {
            return "cancel " + cancel.attempt() + ": " + cancel.reason();
        }
        if (decision instanceof RoutingDecision.RequestActivation request) {
            long deadlineMillis =
                    Duration.between(sessionStart, request.earliestDeadline()).toMillis();
            return "wake "
                    + request.model()
                    + " for "
                    + request.waiting()
                    + " until "
                    + deadlineMillis;
        }
        if (decision instanceof RoutingDecision.Refuse refusal) {
            return "refuse "
                    + refusal.call()
                    + ": "
                    + lower(refusal.reason())
                    + ", "
                    + lower(refusal.workState());
        }
        if (decision instanceof RoutingDecision.RecordDispatch claim) {
            return "claim " + claim.key() + " for " + claim.call();
        }
        if (decision instanceof RoutingDecision.RecordOutcome outcome) {
            return "record " + outcome.key() + " as " + lower(outcome.state());
        }
        return "finish " + ((RoutingDecision.FinishCall) decision).call();
    }

    private static String lower(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
