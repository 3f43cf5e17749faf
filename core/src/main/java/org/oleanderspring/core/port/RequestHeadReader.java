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
}
