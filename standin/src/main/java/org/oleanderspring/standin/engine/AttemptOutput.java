package org.oleanderspring.standin.engine;

/** Where the tokens of an attempt go. */
public interface AttemptOutput {
    /**
     * A token was produced.
     *
     * @param attempt the attempt
     * @param index the number of the token, from 0
     */
    void token(Attempt attempt, int index);

    /**
     * All tokens were produced.
     *
     * @param attempt the attempt
     */
    void completed(Attempt attempt);

    /** The attempt was stopped. */
    void stopped();
}
