package org.oleanderspring.core.quarantine.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/**
 * Messages that are sent again after fixed delays, because the datagrams that carry them may be
 * lost.
 *
 * @param <T> the type of message
 */
final class Repetitions<T> {
    private static final List<Duration> DELAYS =
            List.of(Duration.ofMillis(300), Duration.ofMillis(1_200));

    /** Beyond this number a message is sent only once. */
    private static final int CAPACITY = 256;

    private final Deque<Pending<T>> mPending = new ArrayDeque<>();

    private record Pending<T>(T message, Instant due) {}

    void add(T message, Instant now) {
        for (Duration delay : DELAYS) {
            if (mPending.size() < CAPACITY) {
                mPending.add(new Pending<>(message, now.plus(delay)));
            }
        }
    }

    /** Removes and returns the messages that are due. */
    List<T> take(Instant now) {
        List<T> due = new ArrayList<>();
        Iterator<Pending<T>> iterator = mPending.iterator();
        while (iterator.hasNext()) {
            Pending<T> pending = iterator.next();
            if (!now.isBefore(pending.due())) {
                due.add(pending.message());
                iterator.remove();
            }
        }
        return due;
    }

    boolean isEmpty() {
        return mPending.isEmpty();
    }
}
