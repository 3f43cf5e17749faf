package org.oleanderspring.daemon.document.command;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.document.command.DocumentEvent;
import org.oleanderspring.coordination.membership.MemberList;
import org.oleanderspring.coordination.store.Revision;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.core.settings.command.SettingsDraft;
import org.oleanderspring.daemon.codec.SettingsDocument;
import org.oleanderspring.daemon.document.query.DocumentStatus;
import org.oleanderspring.daemon.operator.SettingsReply;

/** What the ring of the document duty holds. */
public sealed interface DocumentInput {
    /**
     * An event for the decider.
     *
     * @param event the event
     */
    record Event(DocumentEvent event) implements DocumentInput {}

    /**
     * The cells of the fleet changed; each has a plan.
     *
     * @param cells the cells
     */
    record CellsListed(List<CellName> cells) implements DocumentInput {
        /** Copies the list. */
        public CellsListed {
            cells = List.copyOf(cells);
        }
    }

    /**
     * The member list changed.
     *
     * @param members the list
     */
    record MembersListed(MemberList members) implements DocumentInput {}

    /**
     * This daemon wrote a plan.
     *
     * @param plan the plan
     * @param revision the revision of its key
     */
    record PlanWritten(Plan plan, Revision revision) implements DocumentInput {}

    /**
     * An operator sent settings.
     *
     * @param draft the settings
     * @param apply whether to apply them, or only to check them
     * @param reply receives what became of them
     */
    record DraftSent(SettingsDraft draft, boolean apply, CompletableFuture<SettingsReply> reply)
            implements DocumentInput {}

    /**
     * Somebody asks for the settings in force.
     *
     * @param reply receives them
     */
    record SettingsRequested(CompletableFuture<SettingsDocument> reply) implements DocumentInput {}

    /**
     * Somebody asks which settings are in force here and at other daemons.
     *
     * @param reply receives the status
     */
    record StatusRequested(CompletableFuture<DocumentStatus> reply) implements DocumentInput {}
}
