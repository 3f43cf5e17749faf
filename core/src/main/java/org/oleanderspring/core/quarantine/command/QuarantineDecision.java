package org.oleanderspring.core.quarantine.command;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.quarantine.PromptPart;
import org.oleanderspring.core.quarantine.QuarantineEntry;
import org.oleanderspring.core.quarantine.RunnerCrash;
import org.oleanderspring.core.quarantine.query.Quarantine;

/** An action decided by the quarantine, to be executed by the daemon. */
public sealed interface QuarantineDecision {
    /**
     * Check whether a runner still answers.
     *
     * @param runner the run of the runner's process
     */
    record CheckRunner(EndpointId runner) implements QuarantineDecision {}

    /**
     * Report the end of a runner to other daemons.
     *
     * @param recipients the daemons
     * @param crash the report
     * @param isRepetition whether it was sent before
     */
    record SendCrash(Collection<MemberId> recipients, RunnerCrash crash, boolean isRepetition)
            implements QuarantineDecision {
        /** Copies the recipients. */
        public SendCrash {
            recipients = List.copyOf(recipients);
        }
    }

    /**
     * Tell a daemon that reported crashes which suspected parts were answered here lately.
     *
     * @param recipient the daemon
     * @param parts the parts
     */
    record SendSoundParts(MemberId recipient, Set<PromptPart> parts) implements QuarantineDecision {
        /** Copies the set. */
        public SendSoundParts {
            parts = Set.copyOf(parts);
        }
    }

    /**
     * Send an entry to other daemons.
     *
     * @param recipients the daemons
     * @param entry the entry
     */
    record SendEntry(Collection<MemberId> recipients, QuarantineEntry entry)
            implements QuarantineDecision {
        /** Copies the recipients. */
        public SendEntry {
            recipients = List.copyOf(recipients);
        }
    }

    /**
     * Write all entries to the key-value service if their key still has the expected revision.
     *
     * @param entries the entries
     * @param expected the revision; {@link Revision#ABSENT} if the key does not exist
     */
    record StoreEntries(List<QuarantineEntry> entries, Revision expected)
            implements QuarantineDecision {
        /** Copies the list. */
        public StoreEntries {
            entries = List.copyOf(entries);
        }
    }

    /**
     * From now on, refuse the calls that match the quarantine, and only these.
     *
     * @param quarantine the patterns
     */
    record Enforce(Quarantine quarantine) implements QuarantineDecision {}

    /**
     * Another daemon reported something new about the end of a runner; for the log.
     *
     * @param reporter the daemon
     * @param crash the report
     */
    record LogCrash(MemberId reporter, RunnerCrash crash) implements QuarantineDecision {}

    /**
     * One call with a pattern is let through as a trial; for the log.
     *
     * @param entry the entry of the pattern
     */
    record LogTrial(QuarantineEntry entry) implements QuarantineDecision {}

    /**
     * An entry was decided, adopted or withdrawn here; for the log.
     *
     * @param entry the entry
     * @param reason what led to the change
     */
    record LogEntry(QuarantineEntry entry, String reason) implements QuarantineDecision {}
}
