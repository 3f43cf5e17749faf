package org.oleanderspring.coordination.document.command;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.document.DocumentOptions;
import org.oleanderspring.coordination.document.query.WitnessContact;
import org.oleanderspring.coordination.document.query.WitnessSelection;
import org.oleanderspring.coordination.membership.Address;

/**
 * Tracks when the key-value service and the witnesses last replied, and derives until when this
 * member has authority. {@link DefaultDocumentDecider} explains the rules.
 */
final class Freshness {
    private final Address mSelf;
    private final Duration mFreshnessBound;
    private final Duration mContactBound;
    private final Map<Address, Instant> mLastReplies = new HashMap<>();
    private final WitnessSelection mWitnessSelection;
    private Set<Address> mWitnesses = Set.of();
    private int mMemberCount;
    private @Nullable Instant mFreshAt;

    Freshness(Address self, DocumentOptions options) {
        mSelf = self;
        mFreshnessBound = options.freshnessBound();
        mContactBound = options.contactBound();
        mWitnessSelection = new WitnessSelection(options.witnesses());
    }

    /** Records a reply of the key-value service to a request that was sent at the given time. */
    void recordServiceReply(Instant requestSentAt) {
        recordFreshAt(requestSentAt);
    }

    /**
     * Records that this member has every version of the governing document that was accepted before
     * the given time.
     */
    void recordFreshAt(Instant freshAt) {
        mFreshAt = later(mFreshAt, freshAt);
    }

    /**
     * Records a reply of a member to a request that was sent at the given time; only witnesses
     * count.
     */
    void recordReply(Address peer, Instant requestSentAt) {
        if (!mWitnesses.contains(peer) || peer.equals(mSelf)) {
            return;
        }
        mLastReplies.merge(peer, requestSentAt, Freshness::later);
    }

    /**
     * Records a relayed reply of a witness at the given time. In a small group every member can
     * receive replies from a majority itself, so only direct replies count there.
     */
    void recordRelayedReply(Address witness, Instant repliedAt) {
        if (mWitnessSelection.isSampled(mMemberCount)) {
            recordReply(witness, repliedAt);
        }
    }

    /** Replaces the members over which a majority is computed; this member is always included. */
    void setQuorumAddresses(Set<Address> quorumAddresses) {
        Set<Address> members = new HashSet<>(quorumAddresses);
        members.add(mSelf);
        mMemberCount = members.size();
        mWitnesses = mWitnessSelection.witnesses(members);
        mLastReplies.keySet().retainAll(mWitnesses);
    }

    /**
     * Returns the time up to which this member has every accepted version of the governing
     * document, or null if there is none.
     */
    @Nullable Instant freshAt() {
        return mFreshAt;
    }

    /** Returns whether a quorum of witnesses has replied within the contact bound. */
    boolean reachesQuorum(Instant now) {
        Instant end = quorumEnd(now);
        return end != null && !now.isAfter(end);
    }

    /** Returns until when this member has authority, or null if it has none now. */
    @Nullable Instant authorityEnd(Instant now) {
        Instant freshEnd = mFreshAt == null ? null : mFreshAt.plus(mFreshnessBound);
        if (freshEnd != null && !now.isAfter(freshEnd)) {
            return freshEnd;
        }
        Instant quorumEnd = quorumEnd(now);
        if (quorumEnd != null && !now.isAfter(quorumEnd)) {
            return quorumEnd;
        }
        return null;
    }

    /** Returns the witnesses' last replies for the digest; empty in a small group. */
    List<WitnessContact> witnessContacts() {
        if (!mWitnessSelection.isSampled(mMemberCount)) {
            return List.of();
        }
        return mLastReplies.entrySet().stream()
                .filter(reply -> mWitnesses.contains(reply.getKey()))
                .map(reply -> new WitnessContact(reply.getKey(), reply.getValue()))
                .sorted(Comparator.comparing(reply -> reply.witness().toString()))
                .toList();
    }

    /**
     * Returns until when the replies so far form a quorum, or null if they do not. Before the first
     * member list the size of the quorum is unknown.
     */
    private @Nullable Instant quorumEnd(Instant now) {
        if (mMemberCount == 0) {
            return null;
        }
        boolean countsSelf = mWitnesses.contains(mSelf);
        int repliesNeeded = mWitnessSelection.quorum(mMemberCount) - (countsSelf ? 1 : 0);
        if (repliesNeeded == 0) {
            return now.plus(mContactBound);
        }
        List<Instant> latestFirst =
                mLastReplies.entrySet().stream()
                        .filter(reply -> mWitnesses.contains(reply.getKey()))
                        .filter(reply -> !reply.getKey().equals(mSelf))
                        .map(Map.Entry::getValue)
                        .sorted(Comparator.reverseOrder())
                        .limit(repliesNeeded)
                        .toList();
        if (latestFirst.size() < repliesNeeded) {
            return null;
        }
        return latestFirst.get(repliesNeeded - 1).plus(mContactBound);
    }

    private static Instant later(@Nullable Instant first, Instant second) {
        return first == null || first.isBefore(second) ? second : first;
    }
}
