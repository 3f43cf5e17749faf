package org.oleanderspring.daemon.gateway.placement.command;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.oleanderspring.core.fleet.EndpointId;

/**
 * The ages of the last orders to the runners, which one holder of the placement lease hands over to
 * the next. As text, the first line has the age in milliseconds for all runners that are not
 * listed, and each further line has the age in milliseconds and the name of one runner.
 *
 * @param unlistedAge the age for all runners that are not listed; negative if another daemon may
 *     still send orders
 * @param runners the age of the last order by runner
 */
record OrderAges(Duration unlistedAge, Map<EndpointId, Duration> runners) {
    private static final String LINE_END = "\n";

    OrderAges {
        Objects.requireNonNull(unlistedAge, "unlistedAge");
        runners = Map.copyOf(runners);
    }

    String encode() {
        StringBuilder text = new StringBuilder().append(unlistedAge.toMillis());
        runners.forEach(
                (runner, age) ->
                        text.append(LINE_END).append(age.toMillis()).append(' ').append(runner));
        return text.toString();
    }

    /** Parses the text; the result is empty if it is malformed. */
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
