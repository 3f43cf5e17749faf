package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.coordination.dispatch.command.ClaimResult;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.ServiceName;
import org.oleanderspring.core.routing.AttemptId;
import org.oleanderspring.core.routing.AttemptOutcome;
import org.oleanderspring.core.routing.CallId;
import org.oleanderspring.core.routing.CallRequest;
import org.oleanderspring.core.routing.Replica;
import org.oleanderspring.core.routing.ReplicaState;
import org.oleanderspring.core.routing.RoutingLimits;
import org.oleanderspring.core.routing.RoutingTable;
import org.oleanderspring.core.routing.Target;

/**
 * Parses the event lines of a golden session file. Words are separated by blanks; options have the
 * form name=value. A target is a model, or a plain service if its name ends in "-service". Times
 * are in milliseconds, an attempt is written call/number, and N is a call number:
 *
 * <pre>
 * authority yes|no
 * limits queue=COUNT attempts=COUNT budget=PERCENT wake=MS
 * table TARGET=ENDPOINT:CONCURRENCY[:draining],...
 * call N TARGET deadline=MS [key=KEY] [priority=P] [prefix=HASH]
 * claim N ok|unavailable|STATE   (a STATE of RecordState: claimed earlier)
 * began ATTEMPT
 * ended ATTEMPT completed|not-run [draining]|failed [began]
 * left N                         (the caller has disconnected)
 * draining ENDPOINT
 * load ENDPOINT CALLS
 * ready-in TARGET MS
 * drain                          (this daemon starts to drain)
 * timer
 * </pre>
 */
final class SessionEvents {
    private SessionEvents() {}

    /** Parses an event line without its time. */
    static RoutingEvent parse(String line, Instant now) {
        String[] words = line.split(" +");
        Map<String, String> options = options(words);
        return switch (words[0]) {
            case "authority" -> new RoutingEvent.AuthorityChanged(words[1].equals("yes"));
            case "limits" -> new RoutingEvent.LimitsChanged(limits(options));
            case "table" -> new RoutingEvent.TableChanged(table(options));
            case "call" -> new RoutingEvent.CallArrived(call(words, options, now));
            case "claim" -> new RoutingEvent.DispatchRecorded(callId(words[1]), claim(words));
            case "began" -> new RoutingEvent.ResponseBegan(attempt(words[1]));
            case "ended" -> new RoutingEvent.AttemptFinished(attempt(words[1]), outcome(words));
            case "left" -> new RoutingEvent.CallerDisconnected(callId(words[1]));
            case "draining" -> new RoutingEvent.EndpointDraining(new EndpointId(words[1]));
            case "load" ->
                    new RoutingEvent.EndpointLoadObserved(
                            new EndpointId(words[1]), Integer.parseInt(words[2]), now);
            case "ready-in" ->
                    new RoutingEvent.ReadinessEstimated(
                            target(words[1]), now.plus(milliseconds(words[2])));
            case "drain" -> new RoutingEvent.DrainStarted();
            case "timer" -> new RoutingEvent.TimerFired();
            default -> throw new IllegalArgumentException("unknown event: " + line);
        };
    }

    private static Map<String, String> options(String[] words) {
        Map<String, String> options = new LinkedHashMap<>();
        for (String word : words) {
            int equals = word.indexOf('=');
            if (equals > 0) {
                options.put(word.substring(0, equals), word.substring(equals + 1));
            }
        }
        return options;
    }

    private static RoutingLimits limits(Map<String, String> options) {
        return new RoutingLimits(
                Integer.parseInt(options.get("queue")),
                Integer.parseInt(options.get("attempts")),
                Integer.parseInt(options.get("budget")),
                milliseconds(options.get("wake")));
    }

    /** Parses options such as {@code llama=e1:2,e2:1:draining}; an empty value means no replica. */
    private static RoutingTable table(Map<String, String> options) {
        Map<Target, List<Replica>> replicas = new LinkedHashMap<>();
        Set<Target> knownTargets = new HashSet<>();
        for (Map.Entry<String, String> option : options.entrySet()) {
            Target target = target(option.getKey());
            knownTargets.add(target);
            List<Replica> list = new ArrayList<>();
            for (String part : option.getValue().split(",")) {
                if (!part.isEmpty()) {
                    list.add(replica(part.split(":")));
                }
            }
            if (!list.isEmpty()) {
                replicas.put(target, list);
            }
        }
        return new RoutingTable(replicas, knownTargets);
    }

    private static Replica replica(String[] parts) {
        ReplicaState state = parts.length > 2 ? ReplicaState.DRAINING : ReplicaState.READY;
        return new Replica(new EndpointId(parts[0]), state, Integer.parseInt(parts[1]));
    }

    private static CallRequest call(String[] words, Map<String, String> options, Instant now) {
        String key = options.get("key");
        return new CallRequest(
                callId(words[1]),
                target(words[2]),
                key == null ? null : new IdempotencyKey(key),
                Integer.parseInt(options.getOrDefault("priority", "0")),
                now.plus(milliseconds(options.get("deadline"))),
                Long.parseLong(options.getOrDefault("prefix", "0")));
    }

    private static ClaimResult claim(String[] words) {
        return switch (words[2]) {
            case "ok" -> new ClaimResult.Claimed();
            case "unavailable" -> new ClaimResult.Unavailable("by the session");
            default ->
                    new ClaimResult.AlreadyClaimed(
                            RecordState.valueOf(words[2].toUpperCase(Locale.ROOT)));
        };
    }

    private static AttemptOutcome outcome(String[] words) {
        // The optional fourth word is "draining" after not-run, and "began" after failed.
        boolean hasFourthWord = words.length > 3;
        return switch (words[2]) {
            case "completed" -> new AttemptOutcome.Completed();
            case "not-run" -> new AttemptOutcome.NotRun("by the session", hasFourthWord);
            case "failed" -> new AttemptOutcome.Failed("by the session", hasFourthWord);
            default -> throw new IllegalArgumentException("unknown outcome: " + words[2]);
        };
    }

    private static Target target(String name) {
        return name.endsWith("-service")
                ? new Target.ServiceTarget(new ServiceName(name))
                : new Target.ModelTarget(new ModelName(name));
    }

    private static CallId callId(String number) {
        return new CallId(Long.parseLong(number));
    }

    private static AttemptId attempt(String name) {
        String[] parts = name.split("/");
        return new AttemptId(callId(parts[0]), Integer.parseInt(parts[1]));
    }

    private static Duration milliseconds(String text) {
        return Duration.ofMillis(Long.parseLong(text));
    }
}
