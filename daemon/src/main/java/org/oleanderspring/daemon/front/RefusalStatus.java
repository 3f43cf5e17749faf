package org.oleanderspring.daemon.front;

import org.oleanderspring.core.message.ErrorMessage;

/** Maps error messages to HTTP status codes. */
public final class RefusalStatus {
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int CONFLICT = 409;
    private static final int TOO_LARGE = 413;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private RefusalStatus() {}

    /**
     * Returns the HTTP status of a message.
     *
     * @param message the message
     */
    public static int of(ErrorMessage message) {
        return switch (message) {
            case UNKNOWN_TARGET, UNKNOWN_PATH -> NOT_FOUND;
            case METHOD_NOT_ALLOWED -> METHOD_NOT_ALLOWED;
            case QUEUE_FULL, OVERLOADED -> TOO_MANY_REQUESTS;
            case DUPLICATE_KEY, SETTINGS_CONFLICT -> CONFLICT;
            case BODY_TOO_LARGE, TOO_MANY_TOKENS -> TOO_LARGE;
            case ATTEMPTS_EXHAUSTED -> BAD_GATEWAY;
            case DEADLINE_PASSED -> GATEWAY_TIMEOUT;
            case DEADLINE_TOO_SHORT,
                    NOT_TAKEN,
                    RATE_LIMITED,
                    DRAINING,
                    NO_AUTHORITY,
                    RECORD_UNAVAILABLE,
                    SETTINGS_UNAVAILABLE,
                    PORT_UNAVAILABLE,
                    DAEMON_UNREACHABLE ->
                    UNAVAILABLE;
            default -> BAD_REQUEST;
        };
    }
}
