package org.oleanderspring.core.port;

import java.util.List;

/** Reads the head of callers' requests. */
public interface RequestHeadReader {
    /**
     * Reads a head.
     *
     * @param headers the header fields
     */
    RequestHead read(List<Header> headers);
}
