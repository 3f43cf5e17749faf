package org.oleanderspring.daemon.gateway.placement.command;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.oleanderspring.core.fleet.EndpointId;

/**
 * How long ago runners were ordered, as one holder of the placement tells the next. As text: one
 * line with the milliseconds for all others, then a line with milliseconds and name for each
 * runner.
 *
 * @param others for all runners that are not listed; may be less than zero for orders that another
 *     daemon may still give
 * @param runners by runner
 */
record OrderAges(Duration others, Map<EndpointId, Duration> runners) {
    private static final String LINE_END = "\n";

    OrderAges {
        Objects.requireNonNull(others, "others");
        runners = Map.copyOf(runners);
    }

    String encode() {
        StringBuilder text = new StringBuilder().append(others.toMillis());
        runners.forEach(
                (runner, age) ->
                        text.append(LINE_END).append(age.toMillis()).append(' ').append(runner));
        return text.toString();
    }

    /** Returns the ages, or empty if the text has another format. */
    static Optional<OrderAges> decode(String text) {
        String[] lines = text.split(LINE_END);
        Map<EndpointId, Duration> runners = new HashMap<>();
        try {
            for (int line = 1; line < lines.length; line++) {
                String[] fields = lines[line].split(" ", 2);
                if (fields.length != 2) {
                    return Optional.empty();
                }
                runners.put(new EndpointId(fields[1]), millis(fields[0]));
            }
            return Optional.of(new OrderAges(millis(lines[0]), runners));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    private static Duration millis(String text) {
        return Duration.ofMillis(Long.parseLong(text));
    }
}
