package org.oleanderspring.coordination.fake;

import java.time.Duration;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A simulated connection to the key-value service. It can be down or slow, lose requests, lose
 * replies after the request took effect, and deliver requests long after the sender stopped waiting
 * for them.
 */
public final class FaultyLink {
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(400);

    /**
     * Longer than a read takes, so the request arrives after its sender has read that it had no
     * effect.
     */
    private static final int SHORT_DELAY_MILLIS = 40;

    private static final int LATEST_DELIVERY_MILLIS = 3_000;
    private static final int SLOW_MILLIS = 900;

    private final VirtualTime mTime;
    private final Random mRandom;
    private boolean mDown;
    private boolean mFaulty;

    public FaultyLink(VirtualTime time, long seed) {
        mTime = time;
        mRandom = new Random(seed);
    }

    public void setDown(boolean down) {
        mDown = down;
    }

    public void setFaulty(boolean faulty) {
        mFaulty = faulty;
    }

    /**
     * Sends a request.
     *
     * @param effect executes the request at the service
     * @param unavailable the result if the request certainly had no effect
     * @param unknown the result if the request may have had an effect
     * @param reply receives the result, if any
     */
    public <R> void send(Supplier<R> effect, R unavailable, R unknown, Consumer<R> reply) {
        if (mDown) {
            mTime.after(millis(1, 20), () -> reply.accept(unavailable));
            return;
        }
        int fault = mFaulty ? mRandom.nextInt(100) : 100;
        if (fault < 10) {
            // The request is lost.
            mTime.after(REQUEST_TIMEOUT, () -> reply.accept(unknown));
        } else if (fault < 20) {
            // The reply is lost.
            mTime.after(millis(1, 50), effect::get);
            mTime.after(REQUEST_TIMEOUT, () -> reply.accept(unknown));
        } else if (fault < 35) {
            // The request arrives shortly after the sender stopped waiting; the reply is lost.
            mTime.after(REQUEST_TIMEOUT, () -> reply.accept(unknown));
            mTime.after(REQUEST_TIMEOUT.plus(millis(1, SHORT_DELAY_MILLIS)), effect::get);
        } else if (fault < 45) {
            // The request arrives at any time, before or after the sender stops waiting; the reply
            // is lost.
            mTime.after(millis(1, LATEST_DELIVERY_MILLIS), effect::get);
            mTime.after(REQUEST_TIMEOUT, () -> reply.accept(unknown));
        } else if (fault < 50) {
            // The request arrives, and the sender gets neither a reply nor a time-out.
            mTime.after(millis(1, LATEST_DELIVERY_MILLIS), effect::get);
        } else if (fault < 60) {
            // The connection is slow.
            deliver(effect, reply, SLOW_MILLIS);
        } else {
            deliver(effect, reply, 2);
        }
    }

    private <R> void deliver(Supplier<R> effect, Consumer<R> reply, int highestMillis) {
        Duration replyDelay = millis(1, highestMillis);
        mTime.after(
                millis(1, highestMillis),
                () -> {
                    R result = effect.get();
                    mTime.after(replyDelay, () -> reply.accept(result));
                });
    }

    private Duration millis(int lowest, int highest) {
        return Duration.ofMillis(mRandom.nextInt(lowest, highest + 1));
    }
}
