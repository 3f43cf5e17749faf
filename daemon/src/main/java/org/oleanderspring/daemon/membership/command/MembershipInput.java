package org.oleanderspring.daemon.membership.command;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.oleanderspring.coordination.document.query.DigestSnapshot;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.command.MembershipEvent;
import org.oleanderspring.daemon.front.query.EntryDirectory;

/** The events in the ring of the membership duty. */
public sealed interface MembershipInput {
    /**
     * An event that is passed to the decider.
     *
     * @param event the event
     */
    record Event(MembershipEvent event) implements MembershipInput {}

    /**
     * The digest of this daemon's documents changed.
     *
     * @param snapshot the new digest
     */
    record DigestPublished(DigestSnapshot snapshot) implements MembershipInput {}

    /**
     * The operators' settings changed how long callers may cache the entry directory.
     *
     * @param timeToLive the time to live of a directory response
     */
    record DirectoryTimeToLiveChanged(Duration timeToLive) implements MembershipInput {}

    /**
     * A query for the entry directory, for a caller.
     *
     * @param reply completed on the membership thread
     */
    record DirectoryRequested(CompletableFuture<EntryDirectory> reply) implements MembershipInput {}

    /**
     * A query for all known members, including those that failed or left recently.
     *
     * @param reply completed on the membership thread
     */
    record MembersRequested(CompletableFuture<List<Member>> reply) implements MembershipInput {}
}
