package org.oleanderspring.core.review.query;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.core.organisation.Organisation;
import org.oleanderspring.core.route.EngineDescription;
import org.oleanderspring.core.route.EngineModel;
import org.oleanderspring.core.route.FleetConfiguration;
import org.oleanderspring.core.route.Route;
import org.oleanderspring.core.route.RouteKind;
import org.oleanderspring.core.route.ServiceDescription;

/**
 * What a configuration changes compared with another one, by meaning: the order of entries and the
 * form of the document do not count. API keys are counted and not shown.
 */
public final class ConfigurationDifference {
    private ConfigurationDifference() {}

    /**
     * Returns one line for each difference.
     *
     * @param before the configuration in force
     * @param after the new configuration
     */
    public static List<String> between(FleetConfiguration before, FleetConfiguration after) {
        List<String> lines = new ArrayList<>();
        compare(
                "route",
                byName(before.routes(), Route::name),
                byName(after.routes(), Route::name),
                ConfigurationDifference::changes,
                lines);
        compare(
                "service",
                byName(before.services().values(), service -> service.name().value()),
                byName(after.services().values(), service -> service.name().value()),
                ConfigurationDifference::changes,
                lines);
        compare(
                "organisation",
                byName(before.organisations(), organisation -> organisation.name().value()),
                byName(after.organisations(), organisation -> organisation.name().value()),
                ConfigurationDifference::changes,
                lines);
        if (!before.limits().equals(after.limits())) {
            lines.add("limits changed: " + before.limits() + " to " + after.limits());
        }
        return lines;
    }

    private static <T> Map<String, T> byName(Collection<T> entries, Function<T, String> name) {
        Map<String, T> named = new TreeMap<>();
        entries.forEach(entry -> named.put(name.apply(entry), entry));
        return named;
    }

    private static <T> void compare(
            String kind,
            Map<String, T> before,
            Map<String, T> after,
            BiFunction<T, T, List<String>> changes,
            List<String> lines) {
        TreeSet<String> names = new TreeSet<>(before.keySet());
        names.addAll(after.keySet());
        for (String name : names) {
            T old = before.get(name);
            T next = after.get(name);
            if (old == null) {
                lines.add(kind + " " + name + " added");
            } else if (next == null) {
                lines.add(kind + " " + name + " removed");
            } else {
                for (String change : changes.apply(old, next)) {
                    lines.add(kind + " " + name + ": " + change);
                }
            }
        }
    }

    private static List<String> changes(Route before, Route after) {
        List<String> changes = new ArrayList<>();
        add("host", before.host(), after.host(), changes);
        add("prefix", before.prefix(), after.prefix(), changes);
        add("kind", before.kind(), after.kind(), changes);
        add("timeout", before.timeout(), after.timeout(), changes);
        add("objective", before.targetLatency(), after.targetLatency(), changes);
        add("priority", before.priority(), after.priority(), changes);
        add("services", before.shares(), after.shares(), changes);
        add("attempts", before.attemptLimit(), after.attemptLimit(), changes);
        add("resumable", before.resumable(), after.resumable(), changes);
        add("anonymous", before.anonymous(), after.anonymous(), changes);
        if (after.kind() == RouteKind.STREAMING) {
            // The patience of other callers is the timeout.
            add("patience of callers", before.callerPatience(), after.callerPatience(), changes);
        }
        return changes;
    }

    private static List<String> changes(ServiceDescription before, ServiceDescription after) {
        List<String> changes = new ArrayList<>();
        add("health path", before.healthPath(), after.healthPath(), changes);
        add("connections", before.connectionLimit(), after.connectionLimit(), changes);
        EngineDescription old = before.engine();
        EngineDescription next = after.engine();
        if (old == null || next == null) {
            add(
                    "engine",
                    old == null ? "none" : "present",
                    next == null ? "none" : "present",
                    changes);
            return changes;
        }
        add("slots", old.slots(), next.slots(), changes);
        add("token capacity", old.tokenCapacity(), next.tokenCapacity(), changes);
        add("memory", old.memoryMegabytes(), next.memoryMegabytes(), changes);
        add("adapter slots", old.adapterSlots(), next.adapterSlots(), changes);
        add("loads per second", old.loadsPerSecond(), next.loadsPerSecond(), changes);
        compare(
                "model",
                byName(old.models().values(), model -> model.name().value()),
                byName(next.models().values(), model -> model.name().value()),
                ConfigurationDifference::changes,
                changes);
        return changes;
    }

    private static List<String> changes(EngineModel before, EngineModel after) {
        List<String> changes = new ArrayList<>();
        add("weights", before.weightMegabytes(), after.weightMegabytes(), changes);
        add("load from the store", before.storeLoad(), after.storeLoad(), changes);
        add("load from disk", before.diskLoad(), after.diskLoad(), changes);
        add("load from memory", before.memoryLoad(), after.memoryLoad(), changes);
        add("adapters", before.adapters(), after.adapters(), changes);
        add("size of an adapter", before.adapterMegabytes(), after.adapterMegabytes(), changes);
        return changes;
    }

    private static List<String> changes(Organisation before, Organisation after) {
        List<String> changes = new ArrayList<>();
        long kept = before.keys().stream().filter(after.keys()::contains).count();
        add("priority", before.priority(), after.priority(), changes);
        add("quota", before.quota(), after.quota(), changes);
        if (kept < before.keys().size()) {
            changes.add("keys taken away: " + (before.keys().size() - kept));
        }
        if (kept < after.keys().size()) {
            changes.add("keys added: " + (after.keys().size() - kept));
        }
        return changes;
    }

    private static void add(
            String name, @Nullable Object before, @Nullable Object after, List<String> changes) {
        if (!Objects.equals(before, after)) {
            changes.add(name + " " + text(before) + " to " + text(after));
        }
    }

    private static String text(@Nullable Object value) {
        return value == null ? "none" : value.toString();
    }
}
