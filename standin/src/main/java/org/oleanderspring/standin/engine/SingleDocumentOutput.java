package org.oleanderspring.standin.engine;

import org.oleanderspring.standin.http.Exchange;

/** Sends the response as one JSON document after the last token; an abort closes the connection. */
public final class SingleDocumentOutput implements TokenOutput {
    private final Exchange mExchange;

    /**
     * Creates an output.
     *
     * @param exchange the request and its response
     */
    public SingleDocumentOutput(Exchange exchange) {
        mExchange = exchange;
    }

    @Override
    public void onToken(CompletionAttempt attempt, int index) {
        // The response is written from the tokens of the attempt when it completes.
    }

    @Override
    public void onCompleted(CompletionAttempt attempt) {
        mExchange.reply(200, CompletionCodec.responseDocument(attempt));
    }

    @Override
    public void onAborted() {
        mExchange.closeConnection();
    }
}
