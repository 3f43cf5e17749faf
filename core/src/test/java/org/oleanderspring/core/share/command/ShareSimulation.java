package org.oleanderspring.core.share.command;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.oleanderspring.core.share.IssuerRole;
import org.oleanderspring.core.share.RateKey;
import org.oleanderspring.core.share.ShareBounds;
import org.oleanderspring.core.share.ShareGrant;
import org.oleanderspring.core.share.ShareRequest;
import org.oleanderspring.core.share.SharedRate;
import org.oleanderspring.core.share.query.IssuerRanking;

/**
 * Daemons that share one rate, in virtual time, over links that delay and lose messages. Each
 * daemon reads the members and the rate once a second, at a time of its own.
 */
final class ShareSimulation {
    private static final RateKey KEY = new RateKey("harbour");
    private static final Instant START = Instant.EPOCH.plusSeconds(1_000);
    private static final int STEP_MILLIS = 5;
    private static final int TICK_STEPS = 20;
    private static final long LEASE_MILLIS = 3_000;
    private static final long VIEW_MILLIS = 1_000;

    private final SplittableRandom mRandom;
    private final ShareBounds mBounds;
    private final boolean mShared;
    private final PriorityQueue<Message> mMessages =
            new PriorityQueue<>(Comparator.comparingLong(Message::at));
    private final Map<Integer, Node> mNodes = new TreeMap<>();

    /** Until when daemons that ended are still listed as members. */
    private final Map<Integer, Long> mEnded = new HashMap<>();

    private final List<Admission> mAdmissions = new ArrayList<>();
    private SharedRate mRate;
    private double mLoss;
    private long mMillis;
    private int mNextId;
    private long mSent;

    private record Message(long at, int from, int to, Consumer<Node> delivery) {}

    private record Admission(long at, double cost) {}

    private record Outage(long from, long until) {
        boolean covers(long at) {
            return at >= from && at < until;
        }
    }

    private final class Node {
        private final int mId;
        private final long mClockOffset = mRandom.nextLong(-5_000, 5_000);
        private final long mPhase = mRandom.nextLong(VIEW_MILLIS / STEP_MILLIS);
        private final ShareIssuer mIssuer = new ShareIssuer(mBounds);
        private final ShareHolder<Double> mHolder =
                new ShareHolder<>(KEY, mRandom.nextLong(1 << 20));
        private List<Integer> mIssuers = List.of();
        private Outage mFrozen = new Outage(0, 0);
        private Outage mPeersCut = new Outage(0, 0);
        private Outage mStoreCut = new Outage(0, 0);

        Node(int id) {
            mId = id;
        }

        Instant now() {
            return START.plusMillis(mMillis + mClockOffset);
        }

        boolean isMember() {
            return !lapsed(mFrozen) && !lapsed(mStoreCut);
        }

        private boolean lapsed(Outage outage) {
            return outage.covers(mMillis) && mMillis >= outage.from() + LEASE_MILLIS;
        }

        void readMembers(List<Integer> members) {
            mIssuers = IssuerRanking.issuers(KEY, members, id -> "n" + id);
            IssuerRole role = IssuerRanking.roleOf(mId, mIssuers);
            mIssuer.assign(
                    role == null ? Map.of() : Map.of(KEY, new ShareIssuer.Assignment(mRate, role)),
                    now());
        }

        void call(double cost) {
            if (!mShared || mHolder.admit(cost, cost, now())) {
                mAdmissions.add(new Admission(mMillis, cost));
            }
            ask();
        }

        private void ask() {
            if (!mIssuers.isEmpty()) {
                mHolder.takeRequest(now())
                        .ifPresent(
                                request ->
                                        send(
                                                mId,
                                                mHolder.issuerOf(request, mIssuers),
                                                to -> to.requested(mId, request)));
            }
        }

        private void requested(int from, ShareRequest request) {
            ShareGrant grant = mIssuer.issue(request, now());
            if (grant != null) {
                send(mId, from, to -> to.granted(grant));
            }
        }

        private void granted(ShareGrant grant) {
            mHolder.granted(grant, now())
                    .admitted()
                    .forEach(cost -> mAdmissions.add(new Admission(mMillis, cost)));
            ask();
        }

        void tick() {
            mIssuer.contactChanged(!mStoreCut.covers(mMillis), now());
            if (!mIssuer.takeDueConfirmations(now()).isEmpty()) {
                Instant askedAt = now();
                send(mId, mIssuers.get(1), to -> to.confirm(mId, askedAt));
            }
            mHolder.expire(now());
            ask();
        }

        private void confirm(int from, Instant askedAt) {
            if (!mIssuers.isEmpty() && mIssuers.get(0) == from && mIssuer.confirm(KEY, now())) {
                send(mId, from, to -> to.mIssuer.confirmed(KEY, askedAt, to.now()));
            }
        }
    }

    ShareSimulation(long seed, ShareBounds bounds, SharedRate rate, boolean shared) {
        mRandom = new SplittableRandom(seed);
        mBounds = bounds;
        mRate = rate;
        mShared = shared;
    }

    List<Integer> start(int count) {
        for (int started = 0; started < count; started++) {
            mNodes.put(mNextId, new Node(mNextId));
            mNextId++;
        }
        return nodes();
    }

    List<Integer> nodes() {
        return List.copyOf(mNodes.keySet());
    }

    void end(int id, boolean releasesLease) {
        mNodes.remove(id);
        mEnded.put(id, mMillis + (releasesLease ? 0 : LEASE_MILLIS));
    }

    void freeze(int id, long millis) {
        mNodes.get(id).mFrozen = new Outage(mMillis, mMillis + millis);
    }

    void cutPeers(int id, long millis) {
        mNodes.get(id).mPeersCut = new Outage(mMillis, mMillis + millis);
    }

    void cutStore(int id, long millis) {
        mNodes.get(id).mStoreCut = new Outage(mMillis, mMillis + millis);
    }

    void changeRate(SharedRate rate) {
        mRate = rate;
    }

    void loseMessages(double share) {
        mLoss = share;
    }

    long millis() {
        return mMillis;
    }

    long messages() {
        return mSent;
    }

    /** Lets calls arrive at the given daemons: {@code demand} units a second over all of them. */
    void run(Duration time, double demand, double cost, List<Integer> targets) {
        long end = mMillis + time.toMillis();
        double due = 0;
        while (mMillis < end) {
            mMillis += STEP_MILLIS;
            mEnded.values().removeIf(until -> until <= mMillis);
            deliver();
            passTime();
            due += demand * STEP_MILLIS / 1_000;
            while (due >= cost) {
                due -= cost;
                Node node = mNodes.get(targets.get(mRandom.nextInt(targets.size())));
                if (node != null && !node.mFrozen.covers(mMillis)) {
                    node.call(cost * (0.5 + mRandom.nextDouble()));
                }
            }
        }
    }

    private void passTime() {
        List<Integer> members = new ArrayList<>(mEnded.keySet());
        mNodes.values().stream().filter(Node::isMember).forEach(node -> members.add(node.mId));
        long step = mMillis / STEP_MILLIS;
        for (Node node : mNodes.values()) {
            if (node.mFrozen.covers(mMillis)) {
                continue;
            }
            if ((step + node.mPhase) % (VIEW_MILLIS / STEP_MILLIS) == 0
                    && !node.mStoreCut.covers(mMillis)) {
                node.readMembers(members);
            }
            if ((step + node.mPhase) % TICK_STEPS == 0) {
                node.tick();
            }
        }
    }

    private void send(int from, int to, Consumer<Node> delivery) {
        mSent += from == to ? 0 : 1;
        if (from == to || mRandom.nextDouble() >= mLoss) {
            long delay = from == to ? 0 : 1 + mRandom.nextInt(6);
            mMessages.add(new Message(mMillis + delay, from, to, delivery));
        }
    }

    /** Delivers what is due; a frozen daemon gets its messages when it goes on. */
    private void deliver() {
        List<Message> held = new ArrayList<>();
        while (!mMessages.isEmpty() && mMessages.element().at() <= mMillis) {
            Message message = mMessages.remove();
            Node to = mNodes.get(message.to());
            if (to != null && to.mFrozen.covers(mMillis)) {
                held.add(message);
            } else if (to != null && !isCut(message)) {
                message.delivery().accept(to);
            }
        }
        mMessages.addAll(held);
    }

    private boolean isCut(Message message) {
        Node from = mNodes.get(message.from());
        boolean fromCut = from != null && from.mPeersCut.covers(mMillis);
        return message.from() != message.to()
                && (fromCut || mNodes.get(message.to()).mPeersCut.covers(mMillis));
    }

    /** Returns the units admitted after a time. */
    double admittedAfter(long millis) {
        return mAdmissions.stream()
                .filter(admission -> admission.at() > millis)
                .mapToDouble(Admission::cost)
                .sum();
    }

    /** Returns the most units admitted in a window that begins at a time or later. */
    double worstWindow(long beginsAfter) {
        List<Admission> counted =
                mAdmissions.stream().filter(admission -> admission.at() > beginsAfter).toList();
        double worst = 0;
        double sum = 0;
        int first = 0;
        for (Admission last : counted) {
            sum += last.cost();
            while (counted.get(first).at() <= last.at() - mBounds.window().toMillis()) {
                sum -= counted.get(first).cost();
                first++;
            }
            worst = Math.max(worst, sum);
        }
        return worst;
    }
}
