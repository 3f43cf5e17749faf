package org.oleanderspring.standin.engine;

/** Receives the tokens of an attempt and its end. Called on the engine's state thread. */
public interface TokenOutput {
    /**
     * Called when a token was produced.
     *
     * @param attempt the attempt
     * @param index the index of the token, from 0
     */
    void onToken(CompletionAttempt attempt, int index);

    /**
     * Called after the last token.
     *
     * @param attempt the attempt
     */
    void onCompleted(CompletionAttempt attempt);

    /** Called when the attempt was cancelled or aborted before its last token. */
    void onAborted();
}
