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

/** The events in the ring of the document duty. */
public sealed interface DocumentInput {
    /**
     * An event that is passed to the decider.
     *
     * @param event the event
     */
    record Event(DocumentEvent event) implements DocumentInput {}

    /**
     * The cells of the fleet changed. Each cell has one plan.
     *
     * @param cells all cells
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
     * @param members the new list
     */
    record MembersListed(MemberList members) implements DocumentInput {}

    /**
     * The key-value service accepted a plan of this daemon.
     *
     * @param plan the plan
     * @param revision the new revision of the plan's key
     */
    record PlanWritten(Plan plan, Revision revision) implements DocumentInput {}

    /**
     * An operator sent a settings draft.
     *
     * @param draft the draft
     * @param apply true to apply the draft, false to only check it
     * @param reply completed on the document thread with the result
     */
    record DraftReceived(SettingsDraft draft, boolean apply, CompletableFuture<SettingsReply> reply)
            implements DocumentInput {}

    /**
     * A query for the current settings.
     *
     * @param reply completed on the document thread
     */
    record SettingsRequested(CompletableFuture<SettingsDocument> reply) implements DocumentInput {}

    /**
     * A query for the current settings numbers at this daemon and at other daemons.
     *
     * @param reply completed on the document thread
     */
    record StatusRequested(CompletableFuture<DocumentStatus> reply) implements DocumentInput {}
}
