package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Locale;

/** Writes the decision lines of a golden session. */
final class SessionDecisions {
    private SessionDecisions() {}

    static String format(RoutingDecision decision, Instant start) {
        if (decision instanceof RoutingDecision.StartAttempt s) {
            long deadline = Duration.between(start, s.deadline()).toMillis();
            String place = s.attempt() + " on " + s.endpoint() + " until " + deadline;
            return "start " + place + ": " + s.reason();
        }
        if (decision instanceof RoutingDecision.CancelAttempt c) {
            return "cancel " + c.attempt() + ": " + c.reason();
        }
        if (decision instanceof RoutingDecision.RequestActivation w) {
            long deadline = Duration.between(start, w.earliestDeadline()).toMillis();
            return "wake " + w.model() + " for " + w.waiting() + " until " + deadline;
        }
        if (decision instanceof RoutingDecision.Refuse r) {
            return "refuse " + r.call() + ": " + lower(r.reason()) + ", " + lower(r.workState());
        }
        if (decision instanceof RoutingDecision.RecordDispatch r) {
            return "claim " + r.key() + " for " + r.call();
        }
        if (decision instanceof RoutingDecision.RecordOutcome r) {
            return "record " + r.key() + " as " + lower(r.state());
        }
        return "finish " + ((RoutingDecision.FinishCall) decision).call();
    }

    private static String lower(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
