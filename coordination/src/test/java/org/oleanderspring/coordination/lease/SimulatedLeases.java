package org.oleanderspring.coordination.lease;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.oleanderspring.coordination.fake.FakeKeyValueService;
import org.oleanderspring.coordination.fake.FaultyLink;
import org.oleanderspring.coordination.fake.PausableInbox;
import org.oleanderspring.coordination.fake.VirtualTime;
import org.oleanderspring.coordination.lease.command.DefaultLeaseDecider;
import org.oleanderspring.coordination.lease.command.LeaseDecision;
import org.oleanderspring.coordination.lease.command.LeaseEvent;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreOperationId;
import org.oleanderspring.coordination.store.command.StoreLeaseResult;
import org.oleanderspring.coordination.store.command.WriteResult;
import org.oleanderspring.coordination.store.query.ReadResult;

/**
 * Several daemons that compete for leases at a key-value service with faults, in virtual time. If
 * the service names eras, it can come back from a copy.
 */
final class SimulatedLeases {
    enum StepKind {
        ADVANCE,
        PAUSE,
        RESUME,
        CRASH,
        STOP,
        WITHDRAW,
        COMPETE,
        FAULTS,
        OUTAGE,
        END_FAULTS,
        RESTORE
    }

    record Step(StepKind kind, int first, int second) {}

    private static final int DAEMONS = 3;
    private static final List<LeaseName> NAMES = List.of(new LeaseName("a"), new LeaseName("b"));
    private static final LeaseOptions OPTIONS = LeaseOptions.DEFAULT;
    private static final Duration TICK = Duration.ofMillis(50);

    /**
     * The longest time until a lease is held after the faults have ended: one time to live until
     * the keys of crashed daemons are removed, the longest time between two reads (1.25 times the
     * time to live), all rank delays, and three operations that time out.
     */
    private static final Duration TAKEOVER_BOUND =
            OPTIONS.timeToLive()
                    .plus(OPTIONS.timeToLive().multipliedBy(5).dividedBy(4))
                    .plus(OPTIONS.rankDelay().multipliedBy(DAEMONS))
                    .plus(OPTIONS.operationTimeout().multipliedBy(3));

    private final VirtualTime mTime = new VirtualTime();
    private final FakeKeyValueService mService = new FakeKeyValueService(mTime);
    private final long mSeed;
    private final boolean mNamesEras;
    private final Map<LeaseName, FencingToken> mHighestTokens = new TreeMap<>();
    private final Map<LeaseName, Daemon> mOwners = new TreeMap<>();
    private final List<Daemon> mDaemons = new ArrayList<>();
    private int mNextDaemon;

    SimulatedLeases(long seed, boolean namesEras) {
        mSeed = seed;
        mNamesEras = namesEras;
        if (namesEras) {
            mService.nameEras();
        }
        for (int index = 0; index < DAEMONS; index++) {
            mDaemons.add(new Daemon(index));
        }
        mTime.every(TICK, this::tick);
    }

    void run(Step step) {
        int index = step.first() % DAEMONS;
        Daemon daemon = mDaemons.get(index);
        LeaseName name = NAMES.get(step.second() % NAMES.size());
        switch (step.kind()) {
            case ADVANCE -> mTime.advance(advance(step.second()));
            case PAUSE -> daemon.mInbox.pause();
            case RESUME -> daemon.mInbox.resume();
            case CRASH -> {
                daemon.mInbox.crash();
                mDaemons.set(index, new Daemon(index));
            }
            case STOP -> {
                daemon.mInbox.offer(new LeaseEvent.StopRequested());
                mDaemons.set(index, new Daemon(index));
            }
            case WITHDRAW -> daemon.compete(name, false);
            case COMPETE -> daemon.compete(name, true);
            case FAULTS -> mDaemons.forEach(each -> each.mLink.setFaulty(true));
            case OUTAGE -> daemon.mLink.setDown(true);
            case END_FAULTS -> endFaults();
            case RESTORE -> mService.restore(Duration.ofMillis(step.first() * 5L));
            default -> throw new IllegalStateException("unknown step " + step);
        }
    }

    /**
     * Returns mostly times within which an operation is in flight, and some that exceed the time to
     * live.
     */
    private static Duration advance(int number) {
        return Duration.ofMillis(number < 600 ? number : number * 7L);
    }

    private void endFaults() {
        for (Daemon daemon : mDaemons) {
            daemon.mLink.setDown(false);
            daemon.mLink.setFaulty(false);
        }
    }

    /**
     * Ends all faults and checks that each lease gets a holder. With an odd seed each lease then
     * has a single candidate, which a key left behind by another daemon would block.
     */
    void endFaultsAndCheck() {
        endFaults();
        for (int index = 0; index < DAEMONS; index++) {
            Daemon daemon = mDaemons.get(index);
            daemon.mInbox.resume();
            for (int number = 0; number < NAMES.size(); number++) {
                daemon.compete(NAMES.get(number), mSeed % 2 == 0 || number == index);
            }
        }
        mTime.advance(TAKEOVER_BOUND);
        for (LeaseName name : NAMES) {
            check(
                    holders(name) == 1,
                    "lease " + name + " does not have one holder after the faults ended");
        }
    }

    private void tick() {
        mDaemons.forEach(daemon -> daemon.mInbox.offer(new LeaseEvent.TimerFired()));
        for (LeaseName name : NAMES) {
            if (mNamesEras) {
                checkActing(name);
            } else {
                check(holders(name) <= 1, "several daemons hold lease " + name);
            }
        }
        if (mNamesEras) {
            check(mService.swapsAcrossEras() == 0, "a write of an earlier era was accepted");
            mService.copy();
        }
    }

    /** Checks the daemons that may act now, by their own knowledge. */
    private void checkActing(LeaseName name) {
        List<Daemon> acting = mDaemons.stream().filter(daemon -> daemon.mayAct(name)).toList();
        check(acting.size() <= 1, "several daemons act under lease " + name);
        for (Daemon daemon : acting) {
            FencingToken token = daemon.mDecider.token(name);
            FencingToken highest = mHighestTokens.getOrDefault(name, FencingToken.NONE);
            check(token.compareTo(highest) >= 0, "the token fell from " + highest + " to " + token);
            Daemon owner = mOwners.put(name, daemon);
            check(
                    token.compareTo(highest) > 0 || owner == daemon,
                    "two daemons act with the token " + token);
            mHighestTokens.put(name, token);
        }
    }

    /** Counts the running daemons that last reported that they hold the lease. */
    private long holders(LeaseName name) {
        return mDaemons.stream()
                .filter(daemon -> daemon.mInbox.isRunning() && daemon.mHeld.contains(name))
                .count();
    }

    private static void check(boolean holds, String message) {
        if (!holds) {
            throw new AssertionError(message);
        }
    }

    /** One daemon run. */
    private final class Daemon {
        private final int mRank;
        private final FaultyLink mLink;
        private final DefaultLeaseDecider mDecider;
        private final PausableInbox<LeaseEvent> mInbox = new PausableInbox<>(this::handle);
        private final Set<LeaseName> mWanted = new TreeSet<>();
        private final Set<LeaseName> mHeld = new TreeSet<>();

        /** The leases that were lost because the service came back from a copy. */
        private final Set<LeaseName> mRestored = new TreeSet<>();

        Daemon(int rank) {
            mRank = rank;
            int number = mNextDaemon++;
            mLink = new FaultyLink(mTime, mSeed + number);
            mDecider =
                    new DefaultLeaseDecider(
                            new MemberId("d" + number),
                            name -> new StoreKey("/cells/" + name + "/lease"),
                            OPTIONS,
                            new Random(mSeed + number));
        }

        /** Returns whether this daemon holds the lease and need not wait for earlier holders. */
        private boolean mayAct(LeaseName name) {
            return mInbox.isRunning()
                    && mDecider.holds(name, mTime.now())
                    && !mTime.now().isBefore(mDecider.earlierHoldersUntil());
        }

        private void compete(LeaseName name, boolean wanted) {
            if (wanted ? mWanted.add(name) : mWanted.remove(name)) {
                mInbox.offer(
                        new LeaseEvent.CandidaciesChanged(
                                mWanted.stream()
                                        .map(each -> new LeaseCandidacy(each, mRank))
                                        .toList()));
            }
        }

        private void handle(LeaseEvent event) {
            mDecider.decide(event, mTime.now()).forEach(this::execute);
        }

        private void execute(LeaseDecision decision) {
            if (decision instanceof LeaseDecision.LeaseAcquired acquired) {
                check(mHeld.add(acquired.name()), "lease acquired while held: " + acquired.name());
                FencingToken acted =
                        mHighestTokens.getOrDefault(acquired.name(), FencingToken.NONE);
                check(
                        !mRestored.remove(acquired.name())
                                || mDecider.token(acquired.name()).compareTo(acted) > 0,
                        "the token of an earlier era is used again: " + acted);
            } else if (decision instanceof LeaseDecision.LeaseLost lost) {
                check(mHeld.remove(lost.name()), "lease lost while not held: " + lost.name());
                if (lost.reason() == LeaseLossReason.RESTORED) {
                    mRestored.add(lost.name());
                }
            } else if (decision instanceof LeaseDecision.WriteKey write) {
                mLink.<WriteResult>send(
                        () -> mService.write(write.command()),
                        new WriteResult.Unavailable("down"),
                        new WriteResult.Unknown("no reply"),
                        result ->
                                mInbox.offer(
                                        new LeaseEvent.KeyWriteReplied(write.operation(), result)));
            } else if (decision instanceof LeaseDecision.ReadKey read) {
                mLink.<ReadResult>send(
                        () -> mService.read(read.key()),
                        new ReadResult.Unavailable("down"),
                        new ReadResult.Unavailable("no reply"),
                        result ->
                                mInbox.offer(
                                        new LeaseEvent.KeyReadReplied(read.operation(), result)));
            } else if (decision instanceof LeaseDecision.GrantServiceLease grant) {
                send(grant.operation(), () -> mService.grant(grant.timeToLive()));
            } else if (decision instanceof LeaseDecision.RenewServiceLease renew) {
                send(renew.operation(), () -> mService.renew(renew.lease()));
            } else if (decision instanceof LeaseDecision.RevokeServiceLease revoke) {
                send(revoke.operation(), () -> mService.revoke(revoke.lease()));
            }
        }

        private void send(StoreOperationId operation, Supplier<StoreLeaseResult> effect) {
            StoreLeaseResult unavailable = new StoreLeaseResult.Unavailable("no reply");
            mLink.send(
                    effect,
                    unavailable,
                    unavailable,
                    result -> mInbox.offer(new LeaseEvent.ServiceLeaseReplied(operation, result)));
        }
    }
}
