package org.oleanderspring.daemon.front;

import java.util.List;
import org.oleanderspring.core.port.Header;

/** The way back to one caller. The calls come one after the other, from different threads. */
public interface ResponseStream {
    /**
     * Sends the head of the answer.
     *
     * @param status the HTTP status
     * @param headers the headers to pass on
     */
    void begin(int status, List<Header> headers);

    /**
     * Sends a part of the answer.
     *
     * @param bytes the part
     * @param written runs when the part was sent or the caller has left
     */
    void write(byte[] bytes, Runnable written);

    /** Ends the answer. */
    void finish();

    /**
     * Refuses the call; if the answer has begun, cuts it off so that the caller cannot take it for
     * a whole one.
     *
     * @param refusal the refusal
     */
    void refuse(Refusal refusal);

    /** Ends the answer without a word, because the caller has left. */
    void abandon();
}
