package org.oleanderspring.core.routing.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * Shows which calls of one target were refused although they could have been served: a call that
 * arrived later and is not more urgent started in time for the refused one. Each started call
 * proves this for one refused call. Of many refused calls only the latest are kept.
 */
final class RefusalAudit {
    private static final int MAX_KEPT = 32;

    private final Deque<Refused> mRefused = new ArrayDeque<>();

    /** Called when the estimate refuses a call at its arrival. */
    void refused(CallState call) {
        if (mRefused.size() == MAX_KEPT) {
            mRefused.removeFirst();
        }
        mRefused.addLast(
                new Refused(call.arrivedAt(), call.request().beginBy(), call.request().priority()));
    }

    /**
     * Called when the first attempt of a call starts. Returns whether a refused call would have
     * been served in its place.
     *
     * @param firstByte the usual time to the first byte
     */
    boolean started(CallState call, Duration firstByte, Instant now) {
        Instant answeredAt = now.plus(firstByte);
        mRefused.removeIf(refused -> refused.beginBy().isBefore(answeredAt));
        for (Iterator<Refused> kept = mRefused.iterator(); kept.hasNext(); ) {
            Refused refused = kept.next();
            if (refused.at().isBefore(call.arrivedAt())
                    && refused.priority() >= call.request().priority()) {
                kept.remove();
                return true;
            }
        }
        return false;
    }

    private record Refused(Instant at, Instant beginBy, int priority) {}
}
