package org.oleanderspring.standin.engine;

/** Where the tokens of an attempt go. */
public interface TokenOutput {
    /**
     * A token was produced.
     *
     * @param attempt the attempt
     * @param index the number of the token, from 0
     */
    void onToken(CompletionAttempt attempt, int index);

    /**
     * All tokens were produced.
     *
     * @param attempt the attempt
     */
    void onCompleted(CompletionAttempt attempt);

    /** The attempt was stopped. */
    void onAborted();
}
