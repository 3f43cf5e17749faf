package org.oleanderspring.daemon.membership.command;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.document.query.DigestSnapshot;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.command.MembershipEvent;
import org.oleanderspring.daemon.front.query.EntryDirectory;

/** What the ring of the membership duty holds. */
public sealed interface MembershipInput {
    /**
     * An event for the decider.
     *
     * @param event the event
     */
    record Event(MembershipEvent event) implements MembershipInput {}

    /**
     * The digest of this daemon's documents changed.
     *
     * @param snapshot the digest
     */
    record DigestPublished(DigestSnapshot snapshot) implements MembershipInput {}

    /**
     * The operators' settings changed how long callers may keep the directory.
     *
     * @param keep how long
     */
    record DirectoryKeepChanged(Duration keep) implements MembershipInput {}

    /**
     * A caller asks for the entry directory.
     *
     * @param reply receives it
     */
    record DirectoryRequested(CompletableFuture<EntryDirectory> reply) implements MembershipInput {}

    /**
     * Somebody asks for all members.
     *
     * @param reply receives them
     */
    record MembersRequested(CompletableFuture<List<Member>> reply) implements MembershipInput {}
}
