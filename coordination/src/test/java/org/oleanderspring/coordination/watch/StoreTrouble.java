package org.oleanderspring.coordination.watch;

/** A kind of trouble between a daemon and the key-value service, or of the service itself. */
enum StoreTrouble {
    /** Calls get no answer, also those that wait when it begins; they never get one. */
    SILENT,
    /** The connections of waiting calls are reset, and so are new ones. */
    RESET,
    /** Calls get status 503, also those that wait. */
    BUSY,
    /** Answers take fifty times as long. */
    SLOW,
    /** Every second call is executed and gets no answer. */
    ANSWERS_LOST,
    /** Waiting calls hear nothing; at the end the history is dropped and they get status 410. */
    HISTORY_DROPPED,
    /** The connections that are open when it begins get silent, new ones work. */
    SILENT_CONNECTIONS,
    /** Nothing happens to the service; the daemon is suspended. */
    SUSPENDED
}
