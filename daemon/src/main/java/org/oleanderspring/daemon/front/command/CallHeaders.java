package org.oleanderspring.daemon.front.command;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.server.Request;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.port.Header;
import org.oleanderspring.core.settings.SettingName;
import org.oleanderspring.daemon.front.Refusal;

/** Parses the request headers that control routing. */
final class CallHeaders {
    /** The time in milliseconds within which the response must begin. */
    static final String DEADLINE = "X-Deadline-Ms";

    /** The key by which the caller identifies a non-idempotent call. */
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Whether the call may be executed more than once: true or false. */
    static final String IDEMPOTENT = "X-Idempotent";

    /** The priority from 0 to 9; among calls with the same deadline, a higher number goes first. */
    static final String PRIORITY = "X-Priority";

    private static final int PRIORITY_LIMIT = 9;

    /** Hop-by-hop headers, and headers that the daemon sets itself. */
    private static final Set<String> NOT_FORWARDED =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "host",
                    "content-length",
                    "expect",
                    "accept-encoding",
                    "x-deadline-ms",
                    "x-priority",
                    "x-attempt-id");

    private CallHeaders() {}

    /** Either the value of a header or the refusal of the call because the header is invalid. */
    sealed interface Parsed<T> {
        /**
         * A valid header, or the default of an absent one.
         *
         * @param value the value, or null if the header is absent and has no default
         */
        record Valid<T>(@Nullable T value) implements Parsed<T> {}

        /**
         * An invalid header.
         *
         * @param refusal the refusal to send to the caller
         */
        record Invalid<T>(Refusal refusal) implements Parsed<T> {}
    }

    /**
     * Parses the time within which the response must begin.
     *
     * @param request the request
     */
    static Parsed<Duration> responseTimeout(Request request) {
        String text = request.getHeaders().get(DEADLINE);
        if (text == null) {
            return new Parsed.Valid<>(null);
        }
        Long millis = parse(text);
        long limit = SettingName.DEADLINE_LIMIT.maximum();
        if (millis == null || millis < 1 || millis > limit) {
            return invalid(DEADLINE, text, "1 to " + limit + " milliseconds");
        }
        return new Parsed.Valid<>(Duration.ofMillis(millis));
    }

    /**
     * Parses the priority; the default is 0.
     *
     * @param request the request
     */
    static Parsed<Integer> priority(Request request) {
        String text = request.getHeaders().get(PRIORITY);
        if (text == null) {
            return new Parsed.Valid<>(0);
        }
        Long value = parse(text);
        if (value == null || value < 0 || value > PRIORITY_LIMIT) {
            return invalid(PRIORITY, text, "0 to " + PRIORITY_LIMIT);
        }
        return new Parsed.Valid<>(value.intValue());
    }

    /**
     * Parses the idempotency key.
     *
     * @param request the request
     */
    static Parsed<IdempotencyKey> idempotencyKey(Request request) {
        String text = request.getHeaders().get(IDEMPOTENCY_KEY);
        if (text == null) {
            return new Parsed.Valid<>(null);
        }
        if (text.isBlank() || text.length() > IdempotencyKey.MAX_LENGTH) {
            return invalid(
                    IDEMPOTENCY_KEY,
                    text.substring(0, Math.min(text.length(), 20)),
                    "1 to " + IdempotencyKey.MAX_LENGTH + " characters");
        }
        return new Parsed.Valid<>(new IdempotencyKey(text));
    }

    /**
     * Parses whether the call may be executed more than once.
     *
     * @param request the request
     */
    static Parsed<Boolean> idempotent(Request request) {
        String text = request.getHeaders().get(IDEMPOTENT);
        if (text == null) {
            return new Parsed.Valid<>(null);
        }
        return switch (text.toLowerCase(Locale.ROOT)) {
            case "true" -> new Parsed.Valid<>(true);
            case "false" -> new Parsed.Valid<>(false);
            default -> invalid(IDEMPOTENT, text, "true or false");
        };
    }

    /**
     * Returns the headers to forward to the endpoint.
     *
     * @param request the request
     */
    static List<Header> forwarded(Request request) {
        return request.getHeaders().stream()
                .filter(field -> !NOT_FORWARDED.contains(field.getLowerCaseName()))
                .filter(field -> field.getValue() != null)
                .map((HttpField field) -> new Header(field.getName(), field.getValue()))
                .toList();
    }

    private static @Nullable Long parse(String text) {
        try {
            return Long.valueOf(text.trim());
        } catch (NumberFormatException malformed) {
            return null;
        }
    }

    private static <T> Parsed<T> invalid(String name, String value, String allowed) {
        return new Parsed.Invalid<>(Refusal.notRun(ErrorMessage.BAD_HEADER, name, value, allowed));
    }
}
