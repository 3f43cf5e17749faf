package org.oleanderspring.coordination.session;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.oleanderspring.coordination.dispatch.ActiveValue;
import org.oleanderspring.coordination.dispatch.ClaimId;
import org.oleanderspring.coordination.dispatch.DecodeResult;
import org.oleanderspring.coordination.dispatch.DispatchKeyLayout;
import org.oleanderspring.coordination.dispatch.DispatchLimits;
import org.oleanderspring.coordination.dispatch.DispatchRecord;
import org.oleanderspring.coordination.dispatch.DispatchSettings;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.KeyHash;
import org.oleanderspring.coordination.dispatch.PartitionId;
import org.oleanderspring.coordination.dispatch.RecordCodec;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.coordination.dispatch.SealedSegment;
import org.oleanderspring.coordination.dispatch.command.DefaultDispatchDecider;
import org.oleanderspring.coordination.dispatch.command.DispatchDecision;
import org.oleanderspring.coordination.dispatch.command.DispatchEvent;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.StoreKey;
import org.oleanderspring.coordination.store.StoreLeaseId;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.command.CompareAndSwap;
import org.oleanderspring.coordination.store.command.WriteResult;
import org.oleanderspring.coordination.store.query.ReadResult;

/**
 * A scripted session of the dispatch decider of daemon {@code self} with one partition, at most
 * four waiting claims, a retention of one minute and a seal size of two records. Commands in
 * addition to those of {@link ScriptedSession}:
 *
 * <pre>
 * own                            the daemon becomes the owner of the partition
 * disown                         the daemon no longer owns the partition
 * claim NUMBER KEY MS            requests a claim with a deadline in MS milliseconds
 * outcome KEY STATE              reports a state of RecordState
 * damage STORE-KEY               inverts one bit of a stored value
 * take-over                      writes an active value with the next term and another owner
 * status                         prints the status of the partitions
 * </pre>
 */
final class DispatchSession extends ScriptedSession {
    private static final MemberId SELF = new MemberId("self");
    private static final DispatchKeyLayout KEYS = new DispatchKeyLayout(new StoreKey("/d"));
    private static final PartitionId PARTITION = new PartitionId(0);
    private static final StoreKey ACTIVE = KEYS.active(PARTITION);
    private static final DispatchLimits LIMITS =
            new DispatchLimits(
                    1,
                    4,
                    100,
                    2 * RecordCodec.RECORD_BYTES,
                    Duration.ofSeconds(1),
                    Duration.ofMillis(50),
                    Duration.ofSeconds(2),
                    Duration.ofMillis(500));

    private final DefaultDispatchDecider mDecider =
            new DefaultDispatchDecider(
                    SELF, KEYS, LIMITS, new DispatchSettings(Duration.ofMinutes(1), 100));

    @Override
    void tick() {
        decide(new DispatchEvent.TimerFired());
    }

    @Override
    void command(String[] words) {
        switch (words[0]) {
            case "own" -> decide(new DispatchEvent.OwnershipChanged(Set.of(PARTITION)));
            case "disown" -> decide(new DispatchEvent.OwnershipChanged(Set.of()));
            case "claim" ->
                    decide(
                            new DispatchEvent.ClaimRequested(
                                    new ClaimId(SELF, Long.parseLong(words[1])),
                                    new IdempotencyKey(words[2]),
                                    mTime.now().plusMillis(Long.parseLong(words[3]))));
            case "outcome" ->
                    decide(
                            new DispatchEvent.OutcomeReported(
                                    new IdempotencyKey(words[1]), RecordState.valueOf(words[2])));
            case "damage" -> damage(new StoreKey(words[1]));
            case "take-over" -> otherTakesOver();
            case "status" ->
                    mDecider.partitions().forEach(status -> mOutput.add(status.toString()));
            default -> throw new IllegalArgumentException("unknown command " + words[0]);
        }
    }

    private void damage(StoreKey key) {
        StoredValue value = Objects.requireNonNull(mService.get(key));
        byte[] bytes = value.bytes().clone();
        bytes[bytes.length / 2] ^= 1;
        mService.write(new CompareAndSwap(key, value.revision(), bytes, StoreLeaseId.NONE));
    }

    private void otherTakesOver() {
        StoredValue value = Objects.requireNonNull(mService.get(ACTIVE));
        ActiveValue active =
                ((DecodeResult.Decoded<ActiveValue>) RecordCodec.decodeActive(value.bytes()))
                        .value();
        ActiveValue takeoverValue =
                new ActiveValue(
                        active.partition(),
                        active.partitionCount(),
                        active.term().next(),
                        new MemberId("other"),
                        1,
                        active.sealed(),
                        active.records());
        mService.write(
                new CompareAndSwap(
                        ACTIVE,
                        value.revision(),
                        RecordCodec.encode(takeoverValue),
                        StoreLeaseId.NONE));
    }

    private void decide(DispatchEvent event) {
        mDecider.decide(event, mTime.now()).forEach(this::execute);
    }

    private void execute(DispatchDecision decision) {
        if (decision instanceof DispatchDecision.WriteValue write) {
            enqueue(
                    "write " + write.command().key() + describe(write.command()),
                    () -> mService.write(write.command()),
                    new WriteResult.Unavailable("down"),
                    new WriteResult.Unknown("no reply"),
                    result -> decide(new DispatchEvent.WriteReplied(write.operation(), result)));
        } else if (decision instanceof DispatchDecision.ReadValue read) {
            enqueue(
                    "read " + read.key(),
                    () -> mService.read(read.key()),
                    new ReadResult.Unavailable("down"),
                    new ReadResult.Unavailable("no reply"),
                    result -> decide(new DispatchEvent.ReadReplied(read.operation(), result)));
        } else {
            mOutput.add(decision.toString());
        }
    }

    private static String describe(CompareAndSwap write) {
        String at = " at " + write.expected().value() + ": ";
        if (!write.key().equals(ACTIVE)) {
            return at + write.bytes().length + " bytes";
        }
        ActiveValue value =
                ((DecodeResult.Decoded<ActiveValue>) RecordCodec.decodeActive(write.bytes()))
                        .value();
        List<Integer> slots = value.sealed().stream().map(SealedSegment::slot).toList();
        return at
                + value.owner()
                + ", term "
                + value.term()
                + ", sealed "
                + slots
                + ", records "
                + value.records().stream().map(DispatchSession::keyAndState).toList();
    }

    /**
     * Returns the key and state of a record; the key is one of the single letters that sessions
     * use.
     */
    private static String keyAndState(DispatchRecord record) {
        String key =
                IntStream.rangeClosed('a', 'z')
                        .mapToObj(letter -> String.valueOf((char) letter))
                        .filter(name -> keyHashOf(name).equals(record.key()))
                        .collect(Collectors.joining());
        return key + "=" + record.state();
    }

    private static KeyHash keyHashOf(String name) {
        return KeyHash.of(new IdempotencyKey(name));
    }
}
