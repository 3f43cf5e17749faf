package org.oleanderspring.coordination.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.oleanderspring.coordination.membership.command.DefaultMembershipDecider;
import org.oleanderspring.coordination.membership.command.MembershipDecision;
import org.oleanderspring.coordination.membership.command.MembershipEvent;

/**
 * Runs a script of steps with real deciders, a virtual clock and a network with 10 ms latency.
 *
 * <p>Times are in milliseconds. {@code cut} separates the given members from all others until
 * {@code heal}; {@code kill} ends a member without notice. In the output of {@code show}, {@code
 * directory} lists the members that accept new work, and {@code counted} is the number of addresses
 * over which a majority is computed.
 */
final class MembershipSession {
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration LATENCY = Duration.ofMillis(10);
    private static final int PEER_PORT = 7_000;
    private static final int CALLER_PORT = 8_000;

    private final long mSeed;
    private final MembershipOptions mOptions;
    private final Map<String, Node> mNodes = new TreeMap<>();
    private final Map<Address, String> mRunningAt =
            new TreeMap<>((a, b) -> a.ip().compareTo(b.ip()));
    private final List<Datagram> mInFlight = new ArrayList<>();
    private final Set<String> mPaused = new HashSet<>();
    private final Set<String> mCutOff = new HashSet<>();
    private final StringBuilder mLog = new StringBuilder();
    private Instant mNow = Instant.EPOCH;

    MembershipSession(long seed, MembershipOptions options) {
        mSeed = seed;
        mOptions = options;
        mLog.append("seed ").append(seed).append('\n');
    }

    String run(List<String> script) {
        for (String line : script) {
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            }
            mLog.append("> ").append(line).append('\n');
            step(line.split(" ", -1));
        }
        return mLog.toString();
    }

    private void step(String[] words) {
        switch (words[0]) {
            case "start" -> start(words[1], words[2], words[3]);
            case "seeds" -> {
                List<Address> seeds =
                        Arrays.stream(words).skip(1).map(MembershipSession::peer).toList();
                mNodes.keySet().forEach(id -> apply(id, new MembershipEvent.SeedsListed(seeds)));
            }
            case "run" -> advance(Duration.ofMillis(Long.parseLong(words[1])));
            case "kill" -> mRunningAt.remove(mNodes.remove(words[1]).address());
            case "pause" -> mPaused.add(words[1]);
            case "resume" -> resume(words[1]);
            case "cut" -> mCutOff.addAll(List.of(words).subList(1, words.length));
            case "heal" -> mCutOff.clear();
            case "drain" -> apply(words[1], new MembershipEvent.DrainRequested());
            case "leave" -> apply(words[1], new MembershipEvent.LeaveRequested());
            case "show" -> mNodes.keySet().forEach(this::show);
            default -> throw new IllegalArgumentException("unknown step " + words[0]);
        }
    }

    /**
     * Delivers the timer event first, since it was queued before the replies that arrived during
     * the pause.
     */
    private void resume(String id) {
        mPaused.remove(id);
        apply(id, new MembershipEvent.TimerFired());
    }

    private void start(String id, String host, String domain) {
        Member self =
                new Member(
                        new MemberId(id),
                        peer(host),
                        new Address(peer(host).ip(), CALLER_PORT),
                        domain,
                        0,
                        MemberState.ALIVE);
        SplittableRandom random = new SplittableRandom(mSeed + mNodes.size());
        DefaultMembershipDecider decider =
                new DefaultMembershipDecider(self, mOptions, now -> new byte[0], random, mNow);
        mNodes.put(id, new Node(self.peerAddress(), decider));
        mRunningAt.put(self.peerAddress(), id);
    }

    private void advance(Duration duration) {
        Instant end = mNow.plus(duration);
        while (mNow.isBefore(end)) {
            mNow = mNow.plus(TICK);
            deliverDue();
            for (String id : List.copyOf(mNodes.keySet())) {
                if (!mPaused.contains(id)) {
                    apply(id, new MembershipEvent.TimerFired());
                }
            }
        }
    }

    private void deliverDue() {
        List<Datagram> due = mInFlight.stream().filter(d -> !d.due().isAfter(mNow)).toList();
        for (Datagram datagram : due) {
            String receiver = mRunningAt.get(datagram.receiver());
            if (receiver != null && mPaused.contains(receiver)) {
                continue;
            }
            mInFlight.remove(datagram);
            if (receiver != null
                    && mCutOff.contains(receiver) == mCutOff.contains(datagram.from())) {
                apply(receiver, new MembershipEvent.MessageReceived(datagram.message()));
            }
        }
    }

    private void apply(String id, MembershipEvent event) {
        for (MembershipDecision decision : mNodes.get(id).decider().decide(event, mNow)) {
            if (decision instanceof MembershipDecision.SendMessage send) {
                mInFlight.add(
                        new Datagram(id, send.receiver(), send.message(), mNow.plus(LATENCY)));
            } else if (decision instanceof MembershipDecision.MemberChanged changed) {
                log(id, changed);
            }
        }
    }

    private void log(String id, MembershipDecision.MemberChanged changed) {
        Member member = changed.member();
        mLog.append(String.format("%6d %s: ", mNow.toEpochMilli(), id))
                .append(member.id() + " " + member.state() + " " + member.incarnation())
                .append(
                        changed.previousState() == null
                                ? "\n"
                                : " was " + changed.previousState() + "\n");
    }

    private void show(String id) {
        DefaultMembershipDecider decider = mNodes.get(id).decider();
        MemberList members = decider.members();
        mLog.append(id)
                .append(" live ")
                .append(names(members.live()))
                .append(" directory ")
                .append(names(members.acceptingMembers()))
                .append(" counted ")
                .append(members.quorumAddresses().size())
                .append('\n');
    }

    private static String names(List<Member> members) {
        return members.stream().map(member -> member.id().value()).collect(Collectors.joining(","));
    }

    private static Address peer(String host) {
        return new Address("10.0.0." + host, PEER_PORT);
    }

    private record Node(Address address, DefaultMembershipDecider decider) {}

    private record Datagram(
            String from, Address receiver, MembershipMessage message, Instant due) {}
}
