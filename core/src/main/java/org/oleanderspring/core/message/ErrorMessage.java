package org.oleanderspring.core.message;

import java.text.MessageFormat;
import java.util.Locale;

/**
 * Numbered error messages for callers and operators. The numbers are stable; the number of a
 * removed message is not reused. Numbers 1 to 99 are for callers, 100 to 199 for settings changed
 * by operators, 200 to 299 for the start of processes and for command-line tools.
 */
public enum ErrorMessage {
    /** The requested model, adapter or service does not exist. */
    UNKNOWN_TARGET(1, Severity.ERROR, "unknown {0}"),
    /** The queue of the requested model or service is full. */
    QUEUE_FULL(2, Severity.ERROR, "the queue for {0} is full"),
    /** According to the estimate the call cannot be served before its deadline. */
    DEADLINE_TOO_SHORT(3, Severity.ERROR, "{0} cannot be served within the deadline"),
    /** The deadline passed before the call was served. */
    DEADLINE_PASSED(4, Severity.ERROR, "the deadline passed before {0} could be served"),
    /** The daemon is shutting down. */
    DRAINING(5, Severity.ERROR, "this entry address is shutting down; ask the directory again"),
    /** The daemon has no settings, or its settings may be out of date. */
    NO_AUTHORITY(6, Severity.ERROR, "this entry address has no current settings"),
    /** The dispatch record could not be written. */
    RECORD_UNAVAILABLE(7, Severity.ERROR, "the dispatch record could not be written: {0}"),
    /** An earlier call used the same idempotency key. */
    DUPLICATE_KEY(8, Severity.ERROR, "the idempotency key {0} was used before"),
    /** The last permitted attempt failed. */
    ATTEMPTS_EXHAUSTED(9, Severity.ERROR, "all attempts for {0} failed"),
    /** The daemon has too many calls to accept another one. */
    OVERLOADED(10, Severity.ERROR, "this entry address has too many calls"),
    /** The request body is not valid JSON. */
    BROKEN_JSON(11, Severity.ERROR, "the body is not valid JSON: {0}"),
    /** The request body exceeds the size limit. */
    BODY_TOO_LARGE(12, Severity.ERROR, "the body is larger than {0} bytes"),
    /** A request header has an invalid value. */
    BAD_HEADER(13, Severity.ERROR, "header {0} has the invalid value \"{1}\"; allowed: {2}"),
    /** A field of the request body is missing or invalid. */
    BAD_FIELD(14, Severity.ERROR, "field {0} is missing or invalid; allowed: {1}"),
    /** The requested path does not exist. */
    UNKNOWN_PATH(15, Severity.ERROR, "there is nothing at {0}"),
    /** The path does not support the HTTP method. */
    METHOD_NOT_ALLOWED(16, Severity.ERROR, "method {0} is not allowed here; allowed: {1}"),
    /** The prompt has a part that crashes runners. */
    QUARANTINED(17, Severity.ERROR, "a part of the prompt for {0} crashes the endpoints"),
    /** Runners crashed under calls with a part of the prompt, perhaps by another cause. */
    SUSPECTED(
            18,
            Severity.ERROR,
            "it is being checked whether a part of the prompt for {0} crashes the endpoints"),
    /** The endpoints limit the rate of calls, and there is no room before the deadline. */
    RATE_LIMITED(19, Severity.ERROR, "the endpoints of {0} take no more calls for now"),
    /** The API key is missing, malformed or unknown. */
    KEY_REJECTED(21, Severity.ERROR, "the API key is missing or unknown"),
    /** The daemon does not know whether the API keys that it has read are still valid. */
    KEYS_UNVERIFIED(22, Severity.ERROR, "this entry address cannot verify API keys at present"),
    /** The call has more tokens than fit into the memory of the endpoints. */
    TOO_MANY_TOKENS(
            26, Severity.ERROR, "the call is larger than the memory of the endpoints of {0}"),
    /** The call has waited for most of its time, and no endpoint has taken it. */
    NOT_TAKEN(25, Severity.ERROR, "the endpoints of {0} have had no room for the call so far"),
    /** The organisation of the caller has used its quota. */
    QUOTA_EXCEEDED(23, Severity.ERROR, "the quota of {0} is used up for now"),
    /** No daemon that issues the quota of the organisation replied in time. */
    QUOTA_UNKNOWN(24, Severity.ERROR, "the quota of {0} cannot be checked now"),
    /**
     * The settings document contains an unknown setting, or an exception for a setting that cannot
     * differ between models.
     */
    UNKNOWN_SETTING(100, Severity.ERROR, "unknown setting \"{0}\""),
    /** A setting is outside of its range. */
    SETTING_OUT_OF_RANGE(101, Severity.ERROR, "setting {0} is {1}; allowed: {2} to {3} {4}"),
    /** An exception has no reason or no model name. */
    EXCEPTION_WITHOUT_REASON(102, Severity.ERROR, "the exception for {0} has no written reason"),
    /** Another operator changed the settings after this operator read them. */
    SETTINGS_CONFLICT(103, Severity.ERROR, "the settings changed meanwhile to number {0}: {1}"),
    /** The settings cannot be written at present. */
    SETTINGS_UNAVAILABLE(104, Severity.ERROR, "settings cannot be accepted now: {0}"),
    /** The settings document cannot be parsed. */
    SETTINGS_MALFORMED(105, Severity.ERROR, "the settings document is malformed: {0}"),
    /** The document of a configuration cannot be read. */
    CONFIGURATION_MALFORMED(150, Severity.ERROR, "{0}: the configuration is malformed: {1}"),
    /** The document of a configuration is larger than the key-value service takes. */
    CONFIGURATION_TOO_LARGE(151, Severity.ERROR, "{0}: {1} bytes; allowed: {2}"),
    /** Daemons take a configuration except for one entry. */
    CONFIGURATION_FAULT(164, Severity.ERROR, "{0}: {1}"),
    /** Daemons ignore a configuration whose version is not higher than the one in force. */
    VERSION_NOT_HIGHER(152, Severity.ERROR, "{0} is not higher than {1}, which is in force"),
    /** No request can reach a route because another one has the same host and prefix. */
    SHADOWED_ROUTE(153, Severity.WARNING, "{0} never matches: {1} has the same host and prefix"),
    /** A route names a service that does not exist. */
    UNKNOWN_SERVICE(154, Severity.ERROR, "{0} names the unknown service {1}"),
    /** A service of a route gets none of its requests. */
    SHARE_WITHOUT_WEIGHT(155, Severity.WARNING, "{0} gives no requests to {1}: its weight is 0"),
    /** No route names a service. */
    UNUSED_SERVICE(156, Severity.WARNING, "no route leads to {0}"),
    /** Requests time out before their objective is missed. */
    TIMEOUT_BELOW_OBJECTIVE(
            157, Severity.WARNING, "{0} times out after {1} ms, before its objective of {2} ms"),
    /** Requests that may run once have more than one attempt. */
    ATTEMPTS_OF_UNREPEATABLE_ROUTE(
            158, Severity.WARNING, "{0} allows {1} attempts for requests that may run only once"),
    /** No engine can hold a model. */
    MODEL_TOO_LARGE(159, Severity.ERROR, "{0} has {1} MB; an engine holds {2} MB"),
    /** No engine can hold an adapter of a model. */
    ADAPTERS_WITHOUT_ROOM(160, Severity.ERROR, "{0} has adapters that no engine can hold"),
    /** Nobody can send requests for an organisation. */
    ORGANISATION_WITHOUT_KEY(161, Severity.WARNING, "{0} has no API key"),
    /** A key belongs to two organisations. */
    SHARED_KEY(162, Severity.ERROR, "{0} has an API key of organisation {1}"),
    /** A quota is lower than the cost of one request. */
    QUOTA_BELOW_ONE_REQUEST(
            163, Severity.WARNING, "{0}: a plain request costs {1}, its quota allows {2} at once"),
    /** A part of the entry of an organisation in the configuration is left out. */
    ORGANISATION_REJECTED(106, Severity.ERROR, "organisation {0}: {1}"),
    /** A command-line flag has an invalid value. */
    BAD_FLAG(200, Severity.ERROR, "{0} has the invalid value \"{1}\"; allowed: {2}"),
    /** A port cannot be opened. */
    PORT_UNAVAILABLE(201, Severity.ERROR, "cannot listen on {0}: {1}"),
    /** A daemon cannot be reached. */
    DAEMON_UNREACHABLE(202, Severity.ERROR, "cannot reach {0}: {1}"),
    /** The platform's key-value service does not answer, or its content cannot be read. */
    STORE_UNAVAILABLE(203, Severity.ERROR, "cannot use the metadata store at {0}: {1}"),
    /** No entry of the quarantine with the given id is in force. */
    NOT_QUARANTINED(204, Severity.ERROR, "no entry with this id is in force");

    private final int mNumber;
    private final Severity mSeverity;
    private final String mTemplate;

    ErrorMessage(int number, Severity severity, String template) {
        mNumber = number;
        mSeverity = severity;
        mTemplate = template;
    }

    /** Returns the number of the message; it is the same in all releases. */
    public int number() {
        return mNumber;
    }

    /** Returns the severity. */
    public Severity severity() {
        return mSeverity;
    }

    /**
     * Returns the text of the message.
     *
     * @param arguments the values for the placeholders of the template, in order
     */
    public String format(Object... arguments) {
        return new MessageFormat(mTemplate, Locale.ROOT).format(arguments);
    }
}
