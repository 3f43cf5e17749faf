package org.oleanderspring.duty.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.oleanderspring.duty.query.DutyLoad;

/**
 * Measures the work of one duty by kind of event. Used by the thread of the duty only.
 *
 * @param <T> the type of event
 */
final class DutyLoadRecorder<T> {
    private final Function<T, String> mKindOf;
    private final Map<String, KindRecord> mKinds = new HashMap<>();
    private long mPeriodStart;
    private long mEvents;
    private long mBusyNanos;
    private long mLongestWaitNanos;

    DutyLoadRecorder(Function<T, String> kindOf, long now) {
        mKindOf = kindOf;
        mPeriodStart = now;
    }

    void record(T event, long waitNanos, long handlingNanos) {
        mEvents++;
        mBusyNanos += handlingNanos;
        mLongestWaitNanos = Math.max(mLongestWaitNanos, waitNanos);
        mKinds.computeIfAbsent(mKindOf.apply(event), name -> new KindRecord()).add(handlingNanos);
    }

    long periodStart() {
        return mPeriodStart;
    }

    /** Returns the work since the last call and begins the next period. */
    DutyLoad take(long now) {
        List<DutyLoad.Kind> kinds = new ArrayList<>();
        mKinds.forEach((name, kind) -> kinds.add(kind.toKind(name)));
        kinds.sort(
                Comparator.comparing(DutyLoad.Kind::busy)
                        .reversed()
                        .thenComparing(DutyLoad.Kind::name));
        DutyLoad load =
                new DutyLoad(
                        Duration.ofNanos(now - mPeriodStart),
                        mEvents,
                        Duration.ofNanos(mBusyNanos),
                        Duration.ofNanos(mLongestWaitNanos),
                        kinds);
        mKinds.clear();
        mPeriodStart = now;
        mEvents = 0;
        mBusyNanos = 0;
        mLongestWaitNanos = 0;
        return load;
    }

    /** The work for the events of one kind. */
    private static final class KindRecord {
        private long mEvents;
        private long mBusyNanos;
        private long mLongestNanos;

        void add(long nanos) {
            mEvents++;
            mBusyNanos += nanos;
            mLongestNanos = Math.max(mLongestNanos, nanos);
        }

        DutyLoad.Kind toKind(String name) {
            return new DutyLoad.Kind(
                    name, mEvents, Duration.ofNanos(mBusyNanos), Duration.ofNanos(mLongestNanos));
        }
    }
}
