package org.oleanderspring.standin.http;

import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/**
 * Tells which responses have arrived whole.
 *
 * <p>Jetty's client takes a TCP reset for the end of a response that has neither a length nor
 * chunks. The daemon and the stand-ins always send one of both.
 */
public final class WholeResponses {
    private WholeResponses() {}

    /**
     * Returns whether a response has arrived and has not been broken off.
     *
     * @param result the result of the request
     */
    public static boolean isWhole(Result result) {
        if (result.isFailed()) {
            return false;
        }
        HttpFields fields = result.getResponse().getHeaders();
        return fields.contains(HttpHeader.CONTENT_LENGTH)
                || fields.contains(HttpHeader.TRANSFER_ENCODING);
    }
}
