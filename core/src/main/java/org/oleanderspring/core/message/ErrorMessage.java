package org.oleanderspring.core.message;

import java.text.MessageFormat;
import java.util.Locale;

/**
 * The numbered messages that callers and operators see. Numbers are stable; a removed one is not
 * used again. 1 to 99: callers; 100 to 199: operators' settings; 200 to 299: process settings.
 */
public enum ErrorMessage {
    /** No such model, adapter or service. */
    UNKNOWN_TARGET(1, Severity.ERROR, "unknown {0}"),
    /** The queue of the model is full. */
    QUEUE_FULL(2, Severity.ERROR, "the queue for {0} is full"),
    /** The deadline is shorter than the estimated wait. */
    DEADLINE_TOO_SHORT(3, Severity.ERROR, "{0} cannot be served within the deadline"),
    /** The deadline passed. */
    DEADLINE_PASSED(4, Severity.ERROR, "the deadline passed before {0} could be served"),
    /** The daemon is shutting down. */
    DRAINING(5, Severity.ERROR, "this entry address is shutting down; ask the directory again"),
    /** The daemon's settings are missing or may be out of date. */
    NO_AUTHORITY(6, Severity.ERROR, "this entry address has no current settings"),
    /** The dispatch record could not be written. */
    RECORD_UNAVAILABLE(7, Severity.ERROR, "the dispatch record could not be written: {0}"),
    /** The idempotency key was used before. */
    DUPLICATE_KEY(8, Severity.ERROR, "the idempotency key {0} was used before"),
    /** All attempts failed. */
    ATTEMPTS_EXHAUSTED(9, Severity.ERROR, "all attempts for {0} failed"),
    /** The daemon has too many calls. */
    OVERLOADED(10, Severity.ERROR, "this entry address has too many calls"),
    /** The body is not valid JSON. */
    BROKEN_JSON(11, Severity.ERROR, "the body is not valid JSON: {0}"),
    /** The body is too large. */
    BODY_TOO_LARGE(12, Severity.ERROR, "the body is larger than {0} bytes"),
    /** A header has an invalid value. */
    BAD_HEADER(13, Severity.ERROR, "header {0} has the invalid value \"{1}\"; allowed: {2}"),
    /** A field of the body is missing or has the wrong type. */
    BAD_FIELD(14, Severity.ERROR, "field {0} is missing or invalid; allowed: {1}"),
    /** No such path. */
    UNKNOWN_PATH(15, Severity.ERROR, "there is nothing at {0}"),
    /** The path does not support the method. */
    METHOD_NOT_ALLOWED(16, Severity.ERROR, "method {0} is not allowed here; allowed: {1}"),
    /** A setting has an unknown name. */
    UNKNOWN_SETTING(100, Severity.ERROR, "unknown setting \"{0}\""),
    /** A setting is out of range. */
    SETTING_OUT_OF_RANGE(101, Severity.ERROR, "setting {0} is {1}; allowed: {2} to {3} {4}"),
    /** An exception has no reason. */
    EXCEPTION_WITHOUT_REASON(102, Severity.ERROR, "the exception for {0} has no written reason"),
    /** Another operator changed the settings. */
    SETTINGS_CONFLICT(103, Severity.ERROR, "the settings changed meanwhile to number {0}: {1}"),
    /** The settings could not be written now. */
    SETTINGS_UNAVAILABLE(104, Severity.ERROR, "settings cannot be accepted now: {0}"),
    /** The settings document is not valid JSON. */
    SETTINGS_MALFORMED(105, Severity.ERROR, "the settings document is malformed: {0}"),
    /** A flag has an invalid value. */
    BAD_FLAG(200, Severity.ERROR, "{0} has the invalid value \"{1}\"; allowed: {2}"),
    /** A port could not be opened. */
    PORT_UNAVAILABLE(201, Severity.ERROR, "cannot listen on {0}: {1}"),
    /** A daemon could not be reached. */
    DAEMON_UNREACHABLE(202, Severity.ERROR, "cannot reach {0}: {1}");

    private final int mNumber;
    private final Severity mSeverity;
    private final String mTemplate;

    ErrorMessage(int number, Severity severity, String template) {
        mNumber = number;
        mSeverity = severity;
        mTemplate = template;
    }

    /** Returns the stable number. */
    public int number() {
        return mNumber;
    }

    /** Returns the severity. */
    public Severity severity() {
        return mSeverity;
    }

    /**
     * Returns the text.
     *
     * @param arguments the values for the places of the template
     */
    public String format(Object... arguments) {
        return new MessageFormat(mTemplate, Locale.ROOT).format(arguments);
    }
}
