package org.oleanderspring.daemon.front;

import java.util.List;
import org.oleanderspring.core.port.Header;

/**
 * The response to one caller. The methods are called one after the other, but from different
 * threads.
 */
public interface ResponseStream {
    /**
     * Sets status and headers of the response.
     *
     * @param status the HTTP status
     * @param headers the header fields to forward
     */
    void begin(int status, List<Header> headers);

    /**
     * Sends a part of the response body.
     *
     * @param bytes the part
     * @param written runs when the part was sent or the caller has disconnected
     */
    void write(byte[] bytes, Runnable written);

    /** Completes the response. */
    void finish();

    /**
     * Refuses the call. If a part of the response has been sent, the connection is closed instead,
     * so that the caller does not mistake the response for a complete one.
     *
     * @param refusal the refusal
     */
    void refuse(Refusal refusal);

    /** Aborts the response because the caller has disconnected. */
    void abandon();
}
