package org.oleanderspring.daemon.peering.command;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.dispatch.ClaimId;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.coordination.dispatch.command.ClaimResult;
import org.oleanderspring.coordination.document.DocumentDigest;
import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.document.VersionedDocument;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.membership.MembershipMessage;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.placement.ModelUse;

/** Drops all messages; for a daemon without other daemons. */
public final class DetachedPeers implements PeerCommands {
    @Override
    public void sendMembership(Address receiver, MembershipMessage message) {}

    @Override
    public void pushDocument(Address receiver, VersionedDocument document) {}

    @Override
    public void fetchDocument(Address receiver, long requestId, DocumentName name) {}

    @Override
    public void replyToFetch(
            Address receiver,
            long requestId,
            @Nullable VersionedDocument document,
            DocumentDigest digest) {}

    @Override
    public void wake(
            Address receiver, CellName cell, ModelName model, Duration remaining, int waiting) {}

    @Override
    public void estimateReadiness(Address receiver, ModelName model, Duration remaining) {}

    @Override
    public void reportUse(Address receiver, CellName cell, List<ModelUse> uses) {}

    @Override
    public void announceTerm(
            Address receiver, CellName cell, FencingToken term, Set<MemberId> awaited) {}

    @Override
    public void acknowledgeTerm(
            Address receiver, CellName cell, FencingToken term, MemberId member) {}

    @Override
    public void requestClaim(
            Address receiver, ClaimId claim, IdempotencyKey key, Duration remaining) {}

    @Override
    public void replyToClaim(Address receiver, ClaimId claim, ClaimResult result) {}

    @Override
    public void reportOutcome(Address receiver, IdempotencyKey key, RecordState state) {}
}
