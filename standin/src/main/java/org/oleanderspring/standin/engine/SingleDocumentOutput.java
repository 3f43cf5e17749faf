package org.oleanderspring.standin.engine;

import org.oleanderspring.standin.http.Exchange;

/** Sends the whole answer at its end. */
public final class SingleDocumentOutput implements TokenOutput {
    private final Exchange mExchange;

    /**
     * Creates an output.
     *
     * @param exchange the request to answer
     */
    public SingleDocumentOutput(Exchange exchange) {
        mExchange = exchange;
    }

    @Override
    public void onToken(CompletionAttempt attempt, int index) {}

    @Override
    public void onCompleted(CompletionAttempt attempt) {
        mExchange.reply(200, CompletionCodec.responseDocument(attempt));
    }

    @Override
    public void onAborted() {
        mExchange.closeConnection();
    }
}
