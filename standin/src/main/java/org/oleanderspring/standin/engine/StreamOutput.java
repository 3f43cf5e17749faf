package org.oleanderspring.standin.engine;

import org.oleanderspring.standin.http.ChunkWriter;

/** Sends tokens as server-sent events. */
public final class StreamOutput implements AttemptOutput {
    private final ChunkWriter mWriter;

    /**
     * Creates an output.
     *
     * @param writer takes the events
     */
    public StreamOutput(ChunkWriter writer) {
        mWriter = writer;
    }

    @Override
    public void token(Attempt attempt, int index) {
        mWriter.send(AnswerCodec.event(attempt, index));
    }

    @Override
    public void completed(Attempt attempt) {
        mWriter.send(AnswerCodec.lastEvents(attempt));
        mWriter.end();
    }

    @Override
    public void stopped() {
        mWriter.abort();
    }
}
