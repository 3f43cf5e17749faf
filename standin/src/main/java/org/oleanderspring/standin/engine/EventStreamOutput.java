package org.oleanderspring.standin.engine;

import org.oleanderspring.standin.http.ChunkWriter;

/** Sends each token as a server-sent event; an aborted attempt closes the connection. */
public final class EventStreamOutput implements TokenOutput {
    private final ChunkWriter mWriter;

    /**
     * Creates an output.
     *
     * @param writer the writer of the response
     */
    public EventStreamOutput(ChunkWriter writer) {
        mWriter = writer;
    }

    @Override
    public void onToken(CompletionAttempt attempt, int index) {
        mWriter.send(CompletionCodec.tokenEvent(attempt, index));
    }

    @Override
    public void onCompleted(CompletionAttempt attempt) {
        mWriter.send(CompletionCodec.finalEvents(attempt));
        mWriter.end();
    }

    @Override
    public void onAborted() {
        mWriter.abort();
    }
}
