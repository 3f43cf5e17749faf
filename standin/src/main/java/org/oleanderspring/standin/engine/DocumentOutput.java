package org.oleanderspring.standin.engine;

import org.oleanderspring.standin.http.Exchange;

/** Sends the whole answer at its end. */
public final class DocumentOutput implements AttemptOutput {
    private final Exchange mExchange;

    /**
     * Creates an output.
     *
     * @param exchange the request to answer
     */
    public DocumentOutput(Exchange exchange) {
        mExchange = exchange;
    }

    @Override
    public void token(Attempt attempt, int index) {}

    @Override
    public void completed(Attempt attempt) {
        mExchange.reply(200, AnswerCodec.document(attempt));
    }

    @Override
    public void stopped() {
        mExchange.drop();
    }
}
