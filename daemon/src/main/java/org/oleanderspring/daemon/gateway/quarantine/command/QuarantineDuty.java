package org.oleanderspring.daemon.gateway.quarantine.command;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoreLeaseId;
import org.oleanderspring.coordination.store.StoredValue;
import org.oleanderspring.coordination.store.command.CompareAndSwap;
import org.oleanderspring.coordination.store.command.WriteResult;
import org.oleanderspring.coordination.store.query.StoreChange;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.port.query.FetchResult;
import org.oleanderspring.core.quarantine.QuarantineEntry;
import org.oleanderspring.core.quarantine.command.QuarantineDecider;
import org.oleanderspring.core.quarantine.command.QuarantineDecision;
import org.oleanderspring.core.quarantine.command.QuarantineEvent;
import org.oleanderspring.core.runner.RunnerRegistration;
import org.oleanderspring.daemon.gateway.FleetView;
import org.oleanderspring.daemon.gateway.GatewayKeys;
import org.oleanderspring.daemon.gateway.GatewayMember;
import org.oleanderspring.daemon.gateway.StoreUpdate;
import org.oleanderspring.daemon.gateway.quarantine.QuarantineEntryCodec;
import org.oleanderspring.daemon.process.MonotonicClock;
import org.oleanderspring.duty.command.DutyTimer;
import org.oleanderspring.duty.command.EventHandler;
import org.oleanderspring.duty.command.EventSink;
import org.oleanderspring.duty.command.OnDemandTicker;

/**
 * Keeps prompts that crash runners away from them: passes events to the decider and executes its
 * decisions. All state belongs to the duty's thread.
 */
public final class QuarantineDuty implements EventHandler<QuarantineInput> {
    /** Repetitions and waits take a few of these periods; without them there are no such ticks. */
    private static final Duration TICK = Duration.ofMillis(100);

    private final QuarantineDecider mDecider;
    private final QuarantinePorts mPorts;
    private final QuarantineMeters mMeters;
    private final MonotonicClock mClock;
    private final EventSink<QuarantineInput> mOwnRing;
    private final OnDemandTicker<QuarantineInput> mTicker;
    private final FleetView mFleet = new FleetView("[quarantine]");

    /** The runner whose broken answer is handled, or null. */
    private @Nullable RunnerRegistration mBrokenRunner;

    private Set<MemberId> mMembers = Set.of();
    private StoreEra mEra = StoreEra.UNKNOWN;

    /**
     * Creates the duty.
     *
     * @param decider makes the decisions
     * @param ports the duty's outgoing interfaces
     * @param meters the metrics
     * @param clock gives the time of each event
     * @param timer delivers ticks to the ring while something waits
     * @param ownRing the ring of this duty, for events from the ports
     */
    public QuarantineDuty(
            QuarantineDecider decider,
            QuarantinePorts ports,
            QuarantineMeters meters,
            MonotonicClock clock,
            DutyTimer timer,
            EventSink<QuarantineInput> ownRing) {
        mDecider = decider;
        mPorts = ports;
        mMeters = meters;
        mClock = clock;
        mOwnRing = ownRing;
        mTicker =
                new OnDemandTicker<>(
                        timer,
                        ownRing,
                        () -> new QuarantineInput.Event(new QuarantineEvent.TimerFired()),
                        TICK);
    }

    @Override
    public void handle(QuarantineInput input) {
        if (input instanceof QuarantineInput.Event event) {
            handle(event.event());
        } else if (input instanceof QuarantineInput.AnswerBroken broken) {
            RunnerRegistration runner = broken.runner();
            QuarantineLog.answerBroken(runner.id(), broken.call());
            mMeters.answerBroken();
            mBrokenRunner = runner;
            decide(new QuarantineEvent.AnswerBroken(runner.id(), broken.call()));
            mBrokenRunner = null;
        } else if (input instanceof QuarantineInput.StoreChanged changed) {
            apply(changed.update());
        }
        if (mDecider.isWaiting()) {
            mTicker.requestTick(mClock.now());
        }
    }

    private void handle(QuarantineEvent event) {
        if (event instanceof QuarantineEvent.TimerFired) {
            mFleet.expire(mClock.now());
            updateMembers();
        }
        if (event instanceof QuarantineEvent.EntriesWritten written
                && written.revision().era().compareTo(mEra) < 0) {
            // The key-value service came back from a copy that may lack this write.
            decide(new QuarantineEvent.StoreFailed());
            return;
        }
        decide(event);
    }

    private void apply(StoreUpdate update) {
        if (mFleet.apply(update, mClock.now()) == FleetView.Change.DAEMONS) {
            updateMembers();
        }
        if (update instanceof StoreUpdate.Restored restored) {
            mEra = restored.era();
        } else if (update instanceof StoreUpdate.Listed listed) {
            entriesStored(find(listed.values()));
        } else if (update instanceof StoreUpdate.Changed changed) {
            changed.changes().forEach(this::apply);
        }
    }

    private void apply(StoreChange change) {
        if (change instanceof StoreChange.Written written
                && written.value().key().equals(GatewayKeys.QUARANTINE)) {
            entriesStored(written.value());
        } else if (change instanceof StoreChange.Removed removed
                && removed.key().equals(GatewayKeys.QUARANTINE)) {
            entriesStored(null);
        }
    }

    private static @Nullable StoredValue find(List<StoredValue> values) {
        for (StoredValue value : values) {
            if (value.key().equals(GatewayKeys.QUARANTINE)) {
                return value;
            }
        }
        return null;
    }

    /** Passes on the stored entries; an unreadable value counts as empty and is overwritten. */
    private void entriesStored(@Nullable StoredValue value) {
        if (value == null) {
            decide(new QuarantineEvent.EntriesStored(List.of(), Revision.ABSENT));
            return;
        }
        Optional<List<QuarantineEntry>> entries = QuarantineEntryCodec.decode(value.bytes());
        if (entries.isEmpty()) {
            QuarantineLog.storeUnreadable(value.revision().value());
        }
        decide(new QuarantineEvent.EntriesStored(entries.orElse(List.of()), value.revision()));
    }

    private void updateMembers() {
        Set<MemberId> members = new HashSet<>();
        mFleet.members().forEach(member -> members.add(member.id()));
        if (!members.equals(mMembers)) {
            mMembers = members;
            decide(new QuarantineEvent.MembersChanged(members));
        }
    }

    private void decide(QuarantineEvent event) {
        for (QuarantineDecision decision : mDecider.decide(event, mClock.now())) {
            execute(decision);
        }
    }

    private void execute(QuarantineDecision decision) {
        if (decision instanceof QuarantineDecision.CheckRunner check) {
            check();
        } else if (decision instanceof QuarantineDecision.SendCrash send) {
            send(send);
        } else if (decision instanceof QuarantineDecision.SendSoundParts send) {
            GatewayMember.parse(send.recipient())
                    .ifPresent(member -> mPorts.notifier().sendSoundParts(member, send.parts()));
        } else if (decision instanceof QuarantineDecision.SendEntry send) {
            Duration remaining = Duration.between(mClock.now(), send.entry().until());
            forEach(
                    send.recipients(),
                    member -> mPorts.notifier().sendEntry(member, send.entry(), remaining));
        } else if (decision instanceof QuarantineDecision.StoreEntries store) {
            store(store);
        } else if (decision instanceof QuarantineDecision.Enforce enforce) {
            mMeters.patterns(enforce.quarantine().patterns());
            mPorts.enforcement().accept(enforce.quarantine());
        } else if (decision instanceof QuarantineDecision.LogCrash received) {
            QuarantineLog.crashReceived(received.reporter(), received.crash());
            mMeters.crashReceived();
        } else if (decision instanceof QuarantineDecision.LogTrial trial) {
            QuarantineLog.trialBegun(trial.entry());
            mMeters.trialBegun();
        } else if (decision instanceof QuarantineDecision.LogEntry change) {
            QuarantineLog.entryChanged(change.entry(), change.reason());
            mMeters.entryChanged(change.entry().isWithdrawn());
        }
    }

    private void send(QuarantineDecision.SendCrash send) {
        if (!send.isRepetition()) {
            QuarantineLog.crashReported(send.crash(), send.recipients().size());
            mMeters.crashReported();
        }
        Duration age = Duration.between(send.crash().endedAt(), mClock.now());
        forEach(
                send.recipients(),
                member -> mPorts.notifier().sendCrash(member, send.crash(), age));
    }

    private static void forEach(Iterable<MemberId> members, Consumer<GatewayMember> action) {
        members.forEach(member -> GatewayMember.parse(member).ifPresent(action));
    }

    /** Checks the runner whose broken answer is handled. */
    private void check() {
        if (mBrokenRunner == null) {
            return;
        }
        EndpointId runner = mBrokenRunner.id();
        mPorts.runners()
                .read(mBrokenRunner.address())
                .thenAccept(
                        result -> {
                            boolean isAlive = result instanceof FetchResult.Found;
                            QuarantineLog.runnerChecked(runner, isAlive);
                            offer(new QuarantineEvent.RunnerChecked(runner, isAlive));
                        });
    }

    private void store(QuarantineDecision.StoreEntries store) {
        byte[] bytes = QuarantineEntryCodec.encode(store.entries());
        boolean isCreation = store.expected().equals(Revision.ABSENT);
        StoreEra era = isCreation ? mEra : store.expected().era();
        mPorts.store()
                .compareAndSwap(
                        new CompareAndSwap(
                                GatewayKeys.QUARANTINE,
                                store.expected(),
                                bytes,
                                StoreLeaseId.NONE,
                                era))
                .thenAccept(result -> offer(event(result, store.entries())));
    }

    private static QuarantineEvent event(WriteResult result, List<QuarantineEntry> written) {
        if (result instanceof WriteResult.Written success) {
            return new QuarantineEvent.EntriesWritten(written, success.revision());
        }
        if (result instanceof WriteResult.Conflict conflict) {
            StoredValue current = conflict.current();
            List<QuarantineEntry> entries =
                    current == null
                            ? List.of()
                            : QuarantineEntryCodec.decode(current.bytes()).orElse(List.of());
            return new QuarantineEvent.WriteRejected(
                    entries, current == null ? Revision.ABSENT : current.revision());
        }
        QuarantineLog.storeFailed(result.toString());
        return new QuarantineEvent.StoreFailed();
    }

    private void offer(QuarantineEvent event) {
        mOwnRing.offer(new QuarantineInput.Event(event));
    }
}
