package org.oleanderspring.coordination.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.dispatch.command.ClaimResult;
import org.oleanderspring.coordination.dispatch.command.DefaultDispatchDecider;
import org.oleanderspring.coordination.dispatch.command.DispatchDecision;
import org.oleanderspring.coordination.dispatch.command.DispatchEvent;
import org.oleanderspring.coordination.fake.FakeKeyValueService;
import org.oleanderspring.coordination.fake.FaultyLink;
import org.oleanderspring.coordination.fake.PausableInbox;
import org.oleanderspring.coordination.fake.VirtualTime;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.command.WriteResult;
import org.oleanderspring.coordination.store.query.ReadResult;

/**
 * Runs the deciders of several daemons against one fake key-value service in virtual time. Each
 * {@code Claimed} counts as a start of the call at the moment it is decided, which is the strictest
 * interpretation.
 */
final class SimulatedDispatch {
    enum StepKind {
        CLAIM,
        ADVANCE,
        OUTCOME,
        OWN,
        RELEASE,
        PAUSE,
        RESUME,
        CRASH,
        FAULTS,
        OUTAGE,
        END_FAULTS
    }

    record Step(StepKind kind, int first, int second) {}

    static final int KEYS = 24;
    private static final int DAEMONS = 3;
    private static final int PARTITIONS = 2;
    private static final int CLAIMS_PER_STRAY_CLAIM = 10;
    private static final int FIRST_LONG_ADVANCE = 800;
    private static final int SEAL_BYTES = 60;
    private static final Duration TICK = Duration.ofMillis(20);
    private static final Duration CLAIM_TIME = Duration.ofMillis(2_500);
    private static final Duration SETTLING_TIME = Duration.ofSeconds(12);
    private static final DispatchLimits LIMITS =
            new DispatchLimits(
                    PARTITIONS,
                    64,
                    10_000,
                    SEAL_BYTES,
                    Duration.ofSeconds(1),
                    Duration.ofMillis(50),
                    Duration.ofSeconds(2),
                    Duration.ofMillis(500));

    private final VirtualTime mTime = new VirtualTime();
    private final FakeKeyValueService mService = new FakeKeyValueService(mTime);
    private final long mLinkSeed;
    private final Duration mRetention;
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final Map<Integer, List<Instant>> mStarts = new HashMap<>();
    private final Map<ClaimId, Integer> mKeys = new HashMap<>();
    private final Map<ClaimId, ClaimResult> mResults = new HashMap<>();
    private final Map<String, Integer> mOccurrences = new TreeMap<>();
    private int mNextDaemon;
    private long mNextClaim;

    SimulatedDispatch(Duration retention, long linkSeed) {
        mRetention = retention;
        mLinkSeed = linkSeed;
        for (int index = 0; index < DAEMONS; index++) {
            mDaemons.add(new Daemon());
        }
        mTime.every(TICK, () -> mDaemons.forEach(Daemon::tick));
        for (int partition = 0; partition < PARTITIONS; partition++) {
            mDaemons.get(partition).own(partition, true);
        }
    }

    /**
     * Returns how often each kind of result and each phase occurred, to measure the coverage of a
     * run.
     */
    Map<String, Integer> occurrences() {
        return mOccurrences;
    }

    int starts(int key) {
        return mStarts.getOrDefault(key, List.of()).size();
    }

    void run(Step step) {
        Daemon daemon = mDaemons.get(step.first() % DAEMONS);
        switch (step.kind()) {
            case CLAIM -> target(step).claim(step.second() % KEYS);
            case ADVANCE -> mTime.advance(advance(step.second()));
            case OUTCOME ->
                    daemon.mInbox.offer(
                            new DispatchEvent.OutcomeReported(
                                    key(step.second() % KEYS), RecordState.RAN));
            case OWN -> daemon.own(step.second() % PARTITIONS, true);
            case RELEASE -> daemon.own(step.second() % PARTITIONS, false);
            case PAUSE -> daemon.mInbox.pause();
            case RESUME -> daemon.mInbox.resume();
            case CRASH -> {
                daemon.mInbox.crash();
                mDaemons.set(step.first() % DAEMONS, new Daemon());
            }
            case FAULTS -> mDaemons.forEach(each -> each.mLink.setFaulty(true));
            case OUTAGE -> daemon.mLink.setDown(true);
            case END_FAULTS -> endFaults();
            default -> throw new IllegalStateException("unknown step " + step);
        }
    }

    /**
     * Returns the daemon that receives a claim: mostly one that should own the partition, as with
     * real daemons.
     */
    private Daemon target(Step step) {
        PartitionId partition = PartitionId.of(KeyHash.of(key(step.second() % KEYS)), PARTITIONS);
        List<Daemon> owners =
                mDaemons.stream().filter(each -> each.mOwned.contains(partition)).toList();
        if (owners.isEmpty() || step.second() % CLAIMS_PER_STRAY_CLAIM == 0) {
            return mDaemons.get(step.first() % DAEMONS);
        }
        return owners.get(step.first() % owners.size());
    }

    /**
     * Returns mostly short times, in which few operations complete, and some that exceed all
     * time-outs.
     */
    private static Duration advance(int number) {
        return Duration.ofMillis(number < FIRST_LONG_ADVANCE ? number / 8 : number * 3L);
    }

    /**
     * Ends all faults, assigns all partitions to the first daemon, and checks that no claim stays
     * unsettled.
     */
    void endFaultsAndSettle() {
        endFaults();
        for (Daemon daemon : mDaemons) {
            daemon.mInbox.resume();
            for (int partition = 0; partition < PARTITIONS; partition++) {
                daemon.own(partition, daemon == mDaemons.get(0));
            }
        }
        mTime.advance(SETTLING_TIME);
        for (Daemon daemon : mDaemons) {
            check(
                    daemon.mUnsettled.isEmpty(),
                    "claims not settled after the faults ended: " + daemon.mUnsettled.keySet());
        }
    }

    ClaimResult claimAfterFaults(int key) {
        ClaimId claim = mDaemons.get(0).claim(key);
        mTime.advance(CLAIM_TIME.plus(TICK));
        @Nullable ClaimResult result = mResults.get(claim);
        check(result != null, "claim " + claim + " was not settled");
        return result;
    }

    private void endFaults() {
        for (Daemon daemon : mDaemons) {
            daemon.mLink.setDown(false);
            daemon.mLink.setFaulty(false);
        }
    }

    private static IdempotencyKey key(int number) {
        return new IdempotencyKey("key-" + number);
    }

    private static void check(boolean holds, String message) {
        if (!holds) {
            throw new AssertionError(message);
        }
    }

    /**
     * Records the start of a call, and checks that two starts of one key are apart by at least the
     * retention, less the time that a claim may take.
     */
    private void recordStart(int key) {
        List<Instant> starts = mStarts.computeIfAbsent(key, unused -> new ArrayList<>());
        if (!starts.isEmpty()) {
            Duration apart = Duration.between(starts.get(starts.size() - 1), mTime.now());
            check(
                    apart.compareTo(mRetention.minus(CLAIM_TIME)) >= 0,
                    "key " + key + " started again after " + apart);
        }
        starts.add(mTime.now());
    }

    /** One daemon run. */
    private final class Daemon {
        private final MemberId mId = new MemberId("d" + mNextDaemon++);
        private final DefaultDispatchDecider mDecider =
                new DefaultDispatchDecider(
                        mId,
                        new DispatchKeyLayout(new StoreKey("/dispatch")),
                        LIMITS,
                        new DispatchSettings(mRetention, 50));
        private final FaultyLink mLink = new FaultyLink(mTime, mLinkSeed + mNextDaemon);
        private final PausableInbox<DispatchEvent> mInbox = new PausableInbox<>(this::handle);
        private final Set<PartitionId> mOwned = new TreeSet<>();
        private final Map<ClaimId, Instant> mUnsettled = new HashMap<>();
        private final Set<ClaimId> mSettled = new HashSet<>();

        private ClaimId claim(int key) {
            ClaimId claim = new ClaimId(mId, mNextClaim++);
            mKeys.put(claim, key);
            mInbox.offer(
                    new DispatchEvent.ClaimRequested(
                            claim, key(key), mTime.now().plus(CLAIM_TIME)));
            return claim;
        }

        private void own(int number, boolean owned) {
            PartitionId partition = new PartitionId(number);
            if (owned ? mOwned.add(partition) : mOwned.remove(partition)) {
                mInbox.offer(new DispatchEvent.OwnershipChanged(mOwned));
            }
        }

        private void tick() {
            mInbox.offer(new DispatchEvent.TimerFired());
        }

        private void handle(DispatchEvent event) {
            if (event instanceof DispatchEvent.ClaimRequested requested) {
                mUnsettled.put(requested.claim(), requested.deadline());
            }
            for (DispatchDecision decision : mDecider.decide(event, mTime.now())) {
                execute(decision);
            }
            for (Map.Entry<ClaimId, Instant> open : mUnsettled.entrySet()) {
                boolean inTime = mTime.now().isBefore(open.getValue());
                check(inTime, "claim " + open.getKey() + " was not settled by its deadline");
            }
        }

        private void execute(DispatchDecision decision) {
            if (decision instanceof DispatchDecision.WriteValue write) {
                mLink.<WriteResult>send(
                        () -> mService.write(write.command()),
                        new WriteResult.Unavailable("down"),
                        new WriteResult.Unknown("no reply"),
                        result ->
                                mInbox.offer(
                                        new DispatchEvent.WriteReplied(write.operation(), result)));
            } else if (decision instanceof DispatchDecision.ReadValue read) {
                mLink.<ReadResult>send(
                        () -> mService.read(read.key()),
                        new ReadResult.Unavailable("down"),
                        new ReadResult.Unavailable("no reply"),
                        result ->
                                mInbox.offer(
                                        new DispatchEvent.ReadReplied(read.operation(), result)));
            } else if (decision instanceof DispatchDecision.ClaimSettled settled) {
                settled(settled.claim(), settled.result());
            } else if (decision instanceof DispatchDecision.PhaseChanged changed) {
                mOccurrences.merge(changed.phase().name(), 1, Integer::sum);
                check(
                        changed.phase() != PartitionPhase.REFUSING,
                        "partition " + changed.partition() + ": " + changed.reason());
            }
        }

        private void settled(ClaimId claim, ClaimResult result) {
            check(mSettled.add(claim), "claim " + claim + " was settled twice");
            mUnsettled.remove(claim);
            mResults.put(claim, result);
            mOccurrences.merge(result.getClass().getSimpleName(), 1, Integer::sum);
            if (result instanceof ClaimResult.Claimed) {
                recordStart(mKeys.get(claim));
            }
        }
    }
}
