package org.oleanderspring.coordination.membership.command;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.MemberId;

/**
 * Membership updates that are piggybacked on outgoing messages.
 *
 * <p>The number of times that each update is sent grows with the logarithm of the number of
 * members, so that it reaches all members with high probability. The updates that were sent least
 * often go first.
 */
final class UpdateQueue {
    /** The estimated encoded size of a member without its texts, in bytes. */
    private static final int MEMBER_FIXED_BYTES = 32;

    /** How often an update is sent for each power of ten of the number of members, rounded up. */
    private static final int SENDS_PER_POWER_OF_TEN = 4;

    private final Map<MemberId, Update> mUpdates = new HashMap<>();

    /** Adds an update, replacing an earlier one about the same member. */
    void add(Member member) {
        mUpdates.put(member.id(), new Update(member, 0));
    }

    /** Removes the update about a member, so that it is no longer sent. */
    void remove(MemberId id) {
        mUpdates.remove(id);
    }

    /**
     * Returns the updates for one message, as many as fit into the given number of bytes, and
     * counts them as sent.
     */
    List<Member> take(int bytes, int memberCount) {
        List<Member> taken = new ArrayList<>();
        int remaining = bytes;
        for (Update update : leastSentFirst()) {
            int size = estimatedBytes(update.member());
            if (size > remaining) {
                break;
            }
            remaining -= size;
            taken.add(update.member());
            countSend(update, sendLimit(memberCount));
        }
        return taken;
    }

    /** Returns the estimated encoded size of a member in a message, in bytes. */
    static int estimatedBytes(Member member) {
        return MEMBER_FIXED_BYTES
                + member.id().value().length()
                + member.peerAddress().ip().length()
                + member.callerAddress().ip().length()
                + member.failureDomain().length();
    }

    private List<Update> leastSentFirst() {
        return mUpdates.values().stream()
                .sorted(
                        Comparator.comparingInt(Update::sends)
                                .thenComparing(update -> update.member().id()))
                .toList();
    }

    private void countSend(Update update, int limit) {
        int sends = update.sends() + 1;
        MemberId id = update.member().id();
        if (sends >= limit) {
            mUpdates.remove(id);
        } else {
            mUpdates.put(id, new Update(update.member(), sends));
        }
    }

    private static int sendLimit(int memberCount) {
        return SENDS_PER_POWER_OF_TEN * (int) Math.ceil(Math.log10(memberCount + 1.0));
    }

    private record Update(Member member, int sends) {}
}
