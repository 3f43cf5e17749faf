package org.oleanderspring.core.port;

import java.util.List;

/** Extracts the routing values from the headers of a request. */
public interface RequestHeadReader {
    /**
     * Reads the routing values of one request.
     *
     * @param headers the header fields of the request
     */
    RequestHead read(List<Header> headers);

    /**
     * Returns the header fields without those that must not be kept beyond {@link #read}, such as
     * API keys.
     *
     * @param headers the header fields of the request
     */
    List<Header> withoutSecrets(List<Header> headers);
}
