package org.oleanderspring.coordination.membership.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.membership.MemberList;
import org.oleanderspring.coordination.membership.MemberState;

/**
 * The members that one member knows, including itself, and the seeds: the peer addresses of the
 * entry VMs on the VM list.
 *
 * <p>Changes are rare and reads are frequent, so derived lists are cached until the next change.
 */
final class MemberTable {
    private final Map<MemberId, Entry> mEntries = new TreeMap<>();
    private final MemberId mSelfId;
    private Set<Address> mSeeds = Set.of();
    private boolean mSeedsListed;
    private long mChangeCount = 1;
    private @Nullable List<Member> mOtherLiveMembers;
    private @Nullable List<Member> mSuspectedFailedOrLeft;
    private @Nullable List<Address> mUnreachedSeeds;

    MemberTable(Member self, Instant now) {
        mSelfId = self.id();
        mEntries.put(self.id(), new Entry(self, now));
    }

    Member self() {
        Entry entry = mEntries.get(mSelfId);
        if (entry == null) {
            throw new IllegalStateException(
                    "the member table has no entry for this member " + mSelfId);
        }
        return entry.member();
    }

    /** Adds or replaces a member; {@code now} is recorded as the time of the change. */
    void put(Member member, Instant now) {
        mEntries.put(member.id(), new Entry(member, now));
        changed();
    }

    private void changed() {
        mChangeCount++;
        mOtherLiveMembers = null;
        mSuspectedFailedOrLeft = null;
        mUnreachedSeeds = null;
    }

    /** Returns a counter that increases whenever the snapshot may have changed. */
    long changeCount() {
        return mChangeCount;
    }

    @Nullable Member find(MemberId id) {
        Entry entry = mEntries.get(id);
        return entry == null ? null : entry.member();
    }

    /** Returns the other members that are expected to reply. */
    List<Member> otherLiveMembers() {
        if (mOtherLiveMembers == null) {
            mOtherLiveMembers =
                    mEntries.values().stream()
                            .map(Entry::member)
                            .filter(member -> member.state().isLive())
                            .filter(member -> !member.id().equals(mSelfId))
                            .toList();
        }
        return mOtherLiveMembers;
    }

    /** Returns the members that are suspected, failed or left. */
    List<Member> suspectedFailedOrLeft() {
        if (mSuspectedFailedOrLeft == null) {
            mSuspectedFailedOrLeft =
                    mEntries.values().stream()
                            .map(Entry::member)
                            .filter(member -> member.state().compareTo(MemberState.SUSPECTED) >= 0)
                            .toList();
        }
        return mSuspectedFailedOrLeft;
    }

    List<Member> allMembers() {
        return mEntries.values().stream().map(Entry::member).toList();
    }

    /** Returns the other live members with the given peer address. */
    List<Member> liveAt(Address address) {
        return otherLiveMembers().stream()
                .filter(member -> member.peerAddress().equals(address))
                .toList();
    }

    /** Returns the members that have been suspected since the given time or longer. */
    List<Member> suspectedBefore(Instant time) {
        return suspectedFailedOrLeft().stream()
                .filter(member -> member.state() == MemberState.SUSPECTED)
                .filter(member -> isUnchangedSince(member, time))
                .toList();
    }

    private boolean isUnchangedSince(Member member, Instant time) {
        Entry entry = mEntries.get(member.id());
        return entry != null && !entry.since().isAfter(time);
    }

    /**
     * Moves the times of all changes forward by the length of a pause of this member, so that the
     * pause does not count towards suspicions and retention.
     */
    void shiftTimes(Duration pause) {
        mEntries.replaceAll((id, entry) -> new Entry(entry.member(), entry.since().plus(pause)));
    }

    /** Replaces the seeds by those of the latest VM list. */
    void setSeeds(List<Address> seeds) {
        Set<Address> listed = new LinkedHashSet<>(seeds);
        mSeedsListed = true;
        if (!listed.equals(mSeeds)) {
            mSeeds = listed;
            changed();
        }
    }

    /** Returns the seeds at which no live member is known. */
    List<Address> unreachedSeeds() {
        if (mUnreachedSeeds == null) {
            Set<Address> reached = new HashSet<>();
            reached.add(self().peerAddress());
            otherLiveMembers().forEach(member -> reached.add(member.peerAddress()));
            mUnreachedSeeds = mSeeds.stream().filter(seed -> !reached.contains(seed)).toList();
        }
        return mUnreachedSeeds;
    }

    /**
     * Removes left members, and failed members whose VM is not on the VM list, if their state has
     * not changed since the given time.
     */
    void removeUnchangedSince(Instant time) {
        List<Member> removed =
                suspectedFailedOrLeft().stream()
                        .filter(this::isRemovable)
                        .filter(member -> isUnchangedSince(member, time))
                        .toList();
        removed.forEach(member -> mEntries.remove(member.id()));
        if (!removed.isEmpty()) {
            changed();
        }
    }

    private boolean isRemovable(Member member) {
        if (member.id().equals(mSelfId)) {
            return false;
        }
        if (member.state() == MemberState.LEFT) {
            return true;
        }
        return member.state() == MemberState.FAILED
                && mSeedsListed
                && !mSeeds.contains(member.peerAddress());
    }

    MemberList snapshot() {
        List<Member> live = new ArrayList<>();
        List<Member> acceptingMembers = new ArrayList<>();
        Set<Address> quorumAddresses = new HashSet<>(mSeeds);
        for (Entry entry : mEntries.values()) {
            Member member = entry.member();
            if (member.state().isLive()) {
                live.add(member);
            }
            if (member.state() == MemberState.ALIVE) {
                acceptingMembers.add(member);
            }
            if (member.state() != MemberState.LEFT) {
                quorumAddresses.add(member.peerAddress());
            }
        }
        return new MemberList(live, acceptingMembers, quorumAddresses);
    }

    private record Entry(Member member, Instant since) {}
}
