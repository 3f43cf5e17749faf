package org.oleanderspring.bench;

/** A way to record that a call may start, driven by a virtual clock. */
interface RecordScheme {
    /**
     * Asks for the record of a new call.
     *
     * @param number the number of the call; its key is used once
     */
    void claim(long number);

    /** Lets waiting work go on. */
    void tick();
}
