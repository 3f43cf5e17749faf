package org.oleanderspring.standin.engine;

import java.util.ArrayList;
import java.util.List;

/**
 * An attempt to run a completion, with the tokens produced so far; used on the engine's state
 * thread only.
 */
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
     * @param id the attempt ID
     * @param model the name of the model or adapter
     * @param priority the priority; attempts with a higher number start first
     * @param chat whether the response has the chat format
     * @param tokenLimit the number of tokens to produce
     */
    public CompletionAttempt(String id, String model, int priority, boolean chat, int tokenLimit) {
        mId = id;
        mModel = model;
        mPriority = priority;
        mChat = chat;
        mTokenLimit = tokenLimit;
    }

    /** Returns the attempt ID. */
    public String id() {
        return mId;
    }

    /** Returns the name of the model or adapter. */
    public String model() {
        return mModel;
    }

    /** Returns the priority; attempts with a higher number start first. */
    public int priority() {
        return mPriority;
    }

    /** Returns whether the response has the chat format. */
    public boolean isChat() {
        return mChat;
    }

    /** Returns the current state. */
    public CompletionAttemptState state() {
        return mState;
    }

    /**
     * Sets the state without a notification of the outputs.
     *
     * @param state the new state
     */
    public void setState(CompletionAttemptState state) {
        mState = state;
    }

    /** Returns the tokens produced so far, as a live view. */
    public List<String> tokens() {
        return mTokens;
    }

    /** Returns whether the token limit has been reached. */
    public boolean hasAllTokens() {
        return mTokens.size() >= mTokenLimit;
    }

    /**
     * Adds a token and passes it to the outputs.
     *
     * @param text the text of the token
     */
    public void addToken(String text) {
        mTokens.add(text);
        mOutputs.forEach(output -> output.onToken(this, mTokens.size() - 1));
    }

    /**
     * Adds an output, which receives later tokens only.
     *
     * @param output the output
     */
    public void addOutput(TokenOutput output) {
        mOutputs.add(output);
    }

    /**
     * Sets the final state, then notifies and removes the outputs.
     *
     * @param state the final state
     */
    public void finish(CompletionAttemptState state) {
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
