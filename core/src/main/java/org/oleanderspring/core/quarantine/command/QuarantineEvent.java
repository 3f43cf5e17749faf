package org.oleanderspring.core.quarantine.command;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.quarantine.Prompt;
import org.oleanderspring.core.quarantine.PromptPart;
import org.oleanderspring.core.quarantine.PromptPattern;
import org.oleanderspring.core.quarantine.QuarantineEntry;
import org.oleanderspring.core.quarantine.RunnerCrash;
import org.oleanderspring.core.quarantine.SuspectCall;

/** An input of the quarantine. */
public sealed interface QuarantineEvent {
    /**
     * A runner closed the connection of a call that it was beginning to answer.
     *
     * @param runner the run of the runner's process
     * @param call the call
     */
    record AnswerBroken(EndpointId runner, SuspectCall call) implements QuarantineEvent {}

    /**
     * The reply to a {@link QuarantineDecision.CheckRunner}.
     *
     * @param runner the run of the runner's process
     * @param isAlive whether a runner answered at its address
     */
    record RunnerChecked(EndpointId runner, boolean isAlive) implements QuarantineEvent {}

    /**
     * Runners answered calls, completely or far enough to show that the prompt does not crash them.
     *
     * @param prompts the prompts of the calls
     */
    record CallsAnswered(Set<Prompt> prompts) implements QuarantineEvent {
        /** Copies the set. */
        public CallsAnswered {
            prompts = Set.copyOf(prompts);
        }
    }

    /**
     * Another daemon reports the end of a runner.
     *
     * @param reporter the daemon that sent the report
     * @param crash the report
     */
    record CrashReported(MemberId reporter, RunnerCrash crash) implements QuarantineEvent {}

    /**
     * Another daemon reports that parts were answered there lately.
     *
     * @param parts the parts
     */
    record SoundPartsReported(Set<PromptPart> parts) implements QuarantineEvent {
        /** Copies the set. */
        public SoundPartsReported {
            parts = Set.copyOf(parts);
        }
    }

    /**
     * Another daemon sent an entry.
     *
     * @param entry the entry
     */
    record EntryReceived(QuarantineEntry entry) implements QuarantineEvent {}

    /**
     * The entries in the key-value service were read.
     *
     * @param entries all entries there
     * @param revision the revision of their key; {@link Revision#ABSENT} if it does not exist
     */
    record EntriesStored(List<QuarantineEntry> entries, Revision revision)
            implements QuarantineEvent {
        /** Copies the list; rejects a null revision. */
        public EntriesStored {
            entries = List.copyOf(entries);
            Objects.requireNonNull(revision, "revision");
        }
    }

    /**
     * A {@link QuarantineDecision.StoreEntries} of this daemon succeeded.
     *
     * @param entries the entries that were written
     * @param revision the revision of their key
     */
    record EntriesWritten(List<QuarantineEntry> entries, Revision revision)
            implements QuarantineEvent {
        /** Copies the list; rejects a null revision. */
        public EntriesWritten {
            entries = List.copyOf(entries);
            Objects.requireNonNull(revision, "revision");
        }
    }

    /**
     * A {@link QuarantineDecision.StoreEntries} of this daemon was rejected, because others have
     * changed the entries.
     *
     * @param entries the entries in the key-value service
     * @param revision the revision of their key; {@link Revision#ABSENT} if it does not exist
     */
    record WriteRejected(List<QuarantineEntry> entries, Revision revision)
            implements QuarantineEvent {
        /** Copies the list; rejects a null revision. */
        public WriteRejected {
            entries = List.copyOf(entries);
            Objects.requireNonNull(revision, "revision");
        }
    }

    /** A {@link QuarantineDecision.StoreEntries} failed, or its outcome is unknown. */
    record StoreFailed() implements QuarantineEvent {}

    /**
     * Calls were refused because of their prompts.
     *
     * @param patterns the patterns of their prompts
     */
    record CallsRefused(Set<PromptPattern> patterns) implements QuarantineEvent {
        /** Copies the set. */
        public CallsRefused {
            patterns = Set.copyOf(patterns);
        }
    }

    /**
     * The running daemons changed.
     *
     * @param members all running daemons
     */
    record MembersChanged(Set<MemberId> members) implements QuarantineEvent {
        /** Copies the set. */
        public MembersChanged {
            members = Set.copyOf(members);
        }
    }

    /** A periodic tick: repetitions, waits and retention times are checked. */
    record TimerFired() implements QuarantineEvent {}
}
