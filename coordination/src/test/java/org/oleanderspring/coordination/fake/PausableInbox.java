package org.oleanderspring.coordination.fake;

import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * The event queue of a simulated daemon. While paused it keeps events for later; after a crash it
 * discards them.
 */
public final class PausableInbox<E> {
    private final ArrayDeque<E> mEvents = new ArrayDeque<>();
    private final Consumer<E> mHandler;
    private boolean mPaused;
    private boolean mCrashed;

    public PausableInbox(Consumer<E> handler) {
        mHandler = handler;
    }

    public boolean isRunning() {
        return !mPaused && !mCrashed;
    }

    public boolean isCrashed() {
        return mCrashed;
    }

    public void offer(E event) {
        if (mCrashed) {
            return;
        }
        mEvents.add(event);
        drain();
    }

    public void pause() {
        mPaused = true;
    }

    public void resume() {
        mPaused = false;
        drain();
    }

    public void crash() {
        mCrashed = true;
        mEvents.clear();
    }

    private void drain() {
        while (!mPaused && !mEvents.isEmpty()) {
            mHandler.accept(mEvents.remove());
        }
    }
}
