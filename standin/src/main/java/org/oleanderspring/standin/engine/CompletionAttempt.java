package org.oleanderspring.standin.engine;

import java.util.ArrayList;
import java.util.List;

/** One attempt with the tokens produced so far; confined to the engine's duty. */
public final class CompletionAttempt {
    private final String mId;
    private final String mModel;
    private final int mPriority;
    private final boolean mChat;
    private final int mTokenLimit;
    private final List<String> mTokens = new ArrayList<>();
    private final List<TokenOutput> mOutputs = new ArrayList<>();
    private CompletionAttemptState mState = CompletionAttemptState.WAITING;

    /**
     * Creates a waiting attempt.
     *
     * @param id the identity
     * @param model the model or adapter
     * @param priority a higher number goes first
     * @param chat whether the answer has the form of a chat
     * @param tokenLimit how many tokens to produce
     */
    public CompletionAttempt(String id, String model, int priority, boolean chat, int tokenLimit) {
        mId = id;
        mModel = model;
        mPriority = priority;
        mChat = chat;
        mTokenLimit = tokenLimit;
    }

    /** Returns the identity. */
    public String id() {
        return mId;
    }

    /** Returns the model or adapter. */
    public String model() {
        return mModel;
    }

    /** Returns the priority. */
    public int priority() {
        return mPriority;
    }

    /** Returns whether the answer has the form of a chat. */
    public boolean isChat() {
        return mChat;
    }

    /** Returns how far the attempt is. */
    public CompletionAttemptState state() {
        return mState;
    }

    /**
     * Changes how far the attempt is.
     *
     * @param state the new state
     */
    public void setState(CompletionAttemptState state) {
        mState = state;
    }

    /** Returns the tokens produced so far. */
    public List<String> tokens() {
        return mTokens;
    }

    /** Returns whether all tokens were produced. */
    public boolean hasAllTokens() {
        return mTokens.size() >= mTokenLimit;
    }

    /**
     * Adds a token and passes it on.
     *
     * @param text the text
     */
    public void addToken(String text) {
        mTokens.add(text);
        mOutputs.forEach(output -> output.onToken(this, mTokens.size() - 1));
    }

    /**
     * Adds a receiver of later tokens.
     *
     * @param output the receiver
     */
    public void addOutput(TokenOutput output) {
        mOutputs.add(output);
    }

    /**
     * Ends the attempt and tells its receivers.
     *
     * @param state the last state
     */
    public void end(CompletionAttemptState state) {
        mState = state;
        for (TokenOutput output : mOutputs) {
            if (state == CompletionAttemptState.COMPLETED) {
                output.onCompleted(this);
            } else {
                output.onAborted();
            }
        }
        mOutputs.clear();
    }
}
