package org.oleanderspring.coordination.membership.command;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.MemberId;

/**
 * Tracks pending probes and the order in which members are probed.
 *
 * <p>Every member is probed once before any member is probed again, which bounds the time until a
 * failure is detected.
 */
final class ProbeTracker {
    private final RandomGenerator mRandom;
    private final Deque<MemberId> mProbeOrder = new ArrayDeque<>();
    private final Map<Long, Pending> mPending = new LinkedHashMap<>();
    private long mLastSequence;

    ProbeTracker(RandomGenerator random) {
        mRandom = random;
    }

    /** Returns the next member to probe, or null if there is none. */
    @Nullable Member next(MemberTable table) {
        if (mProbeOrder.isEmpty()) {
            table.otherLiveMembers().forEach(member -> mProbeOrder.add(member.id()));
            shuffle();
        }
        while (!mProbeOrder.isEmpty()) {
            Member member = table.find(mProbeOrder.remove());
            if (member != null && member.state().isLive()) {
                return member;
            }
        }
        return null;
    }

    /** Registers a probe of this member that is sent now; returns its sequence number. */
    long begin(Address address, @Nullable MemberId target, Instant now) {
        return add(new Pending(address, target, now, null, false));
    }

    /**
     * Registers a probe that is sent now on behalf of another member; returns its sequence number.
     */
    long beginIndirect(ProbeOrigin origin, Address address, Instant now) {
        return add(new Pending(address, null, now, origin, true));
    }

    /**
     * Removes and returns the pending probe with the given sequence number, or null if there is
     * none.
     */
    @Nullable Pending end(long sequence) {
        return mPending.remove(sequence);
    }

    /**
     * Returns this member's unanswered probes sent up to the given time, by sequence number, and
     * marks them, so that indirect probes are requested only once for each.
     */
    Map<Long, Pending> takeUnanswered(Instant sentBefore) {
        Map<Long, Pending> unanswered = new LinkedHashMap<>();
        mPending.forEach(
                (sequence, pending) -> {
                    if (!pending.indirectProbesRequested()
                            && !pending.sentAt().isAfter(sentBefore)) {
                        unanswered.put(sequence, pending);
                    }
                });
        unanswered.forEach(
                (sequence, pending) ->
                        mPending.put(sequence, pending.withIndirectProbesRequested()));
        return unanswered;
    }

    /**
     * Removes all probes sent up to the given time; returns the members that did not reply to this
     * member's own probes.
     */
    List<MemberId> takeFailed(Instant sentBefore) {
        List<MemberId> failed = new ArrayList<>();
        Iterator<Pending> iterator = mPending.values().iterator();
        while (iterator.hasNext()) {
            Pending pending = iterator.next();
            if (pending.sentAt().isAfter(sentBefore)) {
                continue;
            }
            iterator.remove();
            if (pending.target() != null) {
                failed.add(pending.target());
            }
        }
        return failed;
    }

    /** Drops all pending probes. */
    void clear() {
        mPending.clear();
    }

    private long add(Pending pending) {
        mLastSequence++;
        mPending.put(mLastSequence, pending);
        return mLastSequence;
    }

    private void shuffle() {
        List<MemberId> order = new ArrayList<>(mProbeOrder);
        mProbeOrder.clear();
        while (!order.isEmpty()) {
            int index = mRandom.nextInt(order.size());
            mProbeOrder.add(order.get(index));
            order.set(index, order.get(order.size() - 1));
            order.remove(order.size() - 1);
        }
    }

    /**
     * Identifies the probe of another member on whose behalf this member probes.
     *
     * @param address the other member's peer address
     * @param sequence the other member's sequence number
     */
    record ProbeOrigin(Address address, long sequence) {}

    /**
     * A probe that has no reply yet.
     *
     * @param address the peer address that it was sent to
     * @param target the member that was probed, if it is known
     * @param sentAt when it was sent
     * @param origin the probe of another member that it was sent for; null for this member's own
     *     probe
     * @param indirectProbesRequested whether indirect probes were requested, or need not be, as for
     *     a probe on behalf of another member
     */
    record Pending(
            Address address,
            @Nullable MemberId target,
            Instant sentAt,
            @Nullable ProbeOrigin origin,
            boolean indirectProbesRequested) {
        Pending withIndirectProbesRequested() {
            return new Pending(address, target, sentAt, origin, true);
        }
    }
}
