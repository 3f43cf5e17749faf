package org.oleanderspring.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.oleanderspring.coordination.dispatch.ClaimId;
import org.oleanderspring.coordination.dispatch.IdempotencyKey;
import org.oleanderspring.coordination.dispatch.RecordState;
import org.oleanderspring.coordination.dispatch.command.ClaimResult;
import org.oleanderspring.coordination.document.DocumentDigest;
import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.document.VersionedDocument;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.Address;
import org.oleanderspring.coordination.membership.Member;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.membership.MemberState;
import org.oleanderspring.coordination.membership.MembershipMessage;
import org.oleanderspring.core.fleet.CellName;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointStatement;
import org.oleanderspring.core.fleet.ModelName;
import org.oleanderspring.core.fleet.RateLimit;
import org.oleanderspring.core.fleet.StatedLimit;
import org.oleanderspring.core.load.EndpointLoad;
import org.oleanderspring.core.load.EndpointUse;
import org.oleanderspring.core.permit.IssuerRank;
import org.oleanderspring.core.permit.PermitGrant;
import org.oleanderspring.core.permit.PermitRequest;
import org.oleanderspring.core.placement.ModelUse;
import org.oleanderspring.core.placement.UnreadyReason;
import org.oleanderspring.core.quarantine.Prompt;
import org.oleanderspring.core.quarantine.PromptPart;
import org.oleanderspring.core.quarantine.PromptPattern;
import org.oleanderspring.core.quarantine.SuspectCall;
import org.oleanderspring.core.residency.Residency;
import org.oleanderspring.core.runner.LoadedModel;
import org.oleanderspring.core.share.RateKey;
import org.oleanderspring.core.share.ShareGrant;
import org.oleanderspring.core.share.ShareRequest;

/** Sample messages of every type, with every value of every enum. */
final class PeerSamples {
    static final VersionedDocument DOCUMENT =
            new VersionedDocument(new DocumentName("settings"), 7, new byte[] {1, 2, 3});
    static final DocumentDigest DIGEST =
            new DocumentDigest(List.of(DOCUMENT.version()), Duration.ofMillis(1_500));

    private static final CellName CELL = new CellName("east-1");
    private static final ModelName MODEL = new ModelName("assistant/adapter-3");
    private static final MemberId DAEMON = new MemberId("vm-3/81f2");
    private static final IdempotencyKey KEY = new IdempotencyKey("order-17");
    private static final ClaimId CLAIM = new ClaimId(DAEMON, 5);

    private static final PromptPart PART = new PromptPart("5c1e07a2");
    private static final PromptPart OTHER_PART = new PromptPart("91bd3f06");

    private static final Residency RESIDENCY =
            new Residency(
                    new EndpointId("runner-7@1733300000000"),
                    new FencingToken(41),
                    3,
                    9,
                    List.of(
                            new LoadedModel(new ModelName("assistant"), Set.of("a1", "a3")),
                            new LoadedModel(new ModelName("drafts"), Set.of())),
                    Set.of(new ModelName("drafts")));

    private PeerSamples() {}

    static Member member(int index, MemberState state) {
        return new Member(
                new MemberId("entry-vm-" + index + "/0f3a97c1"),
                new Address("10.20." + index / 250 + "." + (1 + index % 250), 7_101),
                new Address("10.20." + index / 250 + "." + (1 + index % 250), 8_080),
                "region-" + index % 8 + "-zone-" + index % 18,
                index,
                state);
    }

    static List<PeerMessage.Membership> membershipMessages() {
        List<Member> updates = new ArrayList<>();
        for (MemberState state : MemberState.values()) {
            updates.add(member(updates.size(), state));
        }
        Member sender = member(9, MemberState.ALIVE);
        byte[] digest = {9, 8};
        return List.of(
                new PeerMessage.Membership(
                        new MembershipMessage.Probe(1, sender, true, updates, digest)),
                new PeerMessage.Membership(
                        new MembershipMessage.ProbeRequest(
                                2, sender, updates.get(0).peerAddress(), List.of(), digest)),
                new PeerMessage.Membership(
                        new MembershipMessage.Acknowledgement(3, sender, updates, new byte[0])));
    }

    private static final EndpointStatement LIMITED_AND_LEAVING =
            new EndpointStatement(true, new StatedLimit.Limited(2.5));

    static List<PeerMessage> framedMessages() {
        List<PeerMessage> samples = new ArrayList<>();
        samples.add(new PeerMessage.DocumentPush(DOCUMENT));
        samples.add(new PeerMessage.ResidencyStatement(RESIDENCY));
        samples.addAll(loadMessages());
        samples.addAll(permitMessages());
        samples.addAll(shareMessages());
        samples.addAll(quarantineMessages());
        samples.add(new PeerMessage.DocumentFetch(4, DOCUMENT.name()));
        samples.add(new PeerMessage.DocumentReply(4, DOCUMENT, DIGEST));
        samples.add(new PeerMessage.DocumentReply(5, null, DocumentDigest.EMPTY));
        samples.add(
                new PeerMessage.ActivationRequest(DAEMON, CELL, MODEL, Duration.ofMillis(-20), 3));
        samples.add(new PeerMessage.ReadyNotice(CELL, MODEL, Duration.ofSeconds(2)));
        for (UnreadyReason reason : UnreadyReason.values()) {
            samples.add(new PeerMessage.UnreadyNotice(CELL, MODEL, reason));
        }
        samples.add(new PeerMessage.UseReport(DAEMON, CELL, List.of(new ModelUse(MODEL, 1, 2, 3))));
        samples.add(new PeerMessage.TermAnnouncement(CELL, new FencingToken(8), DAEMON));
        samples.add(new PeerMessage.TermAcknowledgement(CELL, new FencingToken(8), DAEMON));
        samples.add(new PeerMessage.ClaimRequest(CLAIM, KEY, Duration.ofMillis(900)));
        samples.add(new PeerMessage.ClaimReply(CLAIM, new ClaimResult.Claimed()));
        samples.add(new PeerMessage.ClaimReply(CLAIM, new ClaimResult.Unavailable("no owner")));
        for (RecordState state : RecordState.values()) {
            samples.add(new PeerMessage.ClaimReply(CLAIM, new ClaimResult.AlreadyClaimed(state)));
            samples.add(new PeerMessage.OutcomeReport(KEY, state));
        }
        for (EndpointCondition condition : EndpointCondition.values()) {
            samples.add(new PeerMessage.EndpointNotice(new EndpointId("runner-2/5"), condition));
        }
        return samples;
    }

    private static List<PeerMessage> shareMessages() {
        RateKey key = new RateKey("harbour");
        Instant askedAt = Instant.ofEpochMilli(1_700_000_000_123L);
        MemberId daemon = new MemberId("daemon-1");
        return List.of(
                new PeerMessage.ShareRequested(
                        daemon,
                        new ShareRequest(
                                key, 7, List.of(826.0, 12.5), 400, 3.5, Duration.ofMillis(90))),
                new PeerMessage.ShareGranted(new ShareGrant(key, 7, 838.5, Duration.ofMillis(250))),
                new PeerMessage.IssuerConfirmationRequested(daemon, key, askedAt),
                new PeerMessage.IssuerConfirmed(key, askedAt));
    }

    private static List<PeerMessage> permitMessages() {
        List<PeerMessage> samples = new ArrayList<>();
        for (IssuerRank rank : IssuerRank.values()) {
            samples.add(
                    new PeerMessage.PermitRequested(
                            DAEMON,
                            new PermitRequest(RESIDENCY.runner(), 2, new RateLimit(1.25), rank)));
        }
        samples.add(
                new PeerMessage.PermitsGranted(
                        new PermitGrant(
                                RESIDENCY.runner(),
                                List.of(Duration.ZERO, Duration.ofMillis(800)),
                                Duration.ofMillis(1_600))));
        samples.add(
                new PeerMessage.PermitsGranted(
                        new PermitGrant(RESIDENCY.runner(), List.of(), Duration.ofSeconds(4))));
        return samples;
    }

    private static List<PeerMessage> loadMessages() {
        List<PeerMessage> samples = new ArrayList<>();
        samples.add(
                new PeerMessage.EndpointUseReport(
                        DAEMON,
                        List.of(
                                new EndpointUse(
                                        RESIDENCY.runner(), 3, 0, 1, EndpointStatement.NONE),
                                new EndpointUse(
                                        RESIDENCY.runner(), 0, 2, 4.25, LIMITED_AND_LEAVING))));
        samples.add(
                new PeerMessage.EndpointLoadNotice(
                        List.of(
                                new EndpointLoad(
                                        RESIDENCY.runner(), 12, 1.5, LIMITED_AND_LEAVING))));
        return samples;
    }

    private static List<PeerMessage> quarantineMessages() {
        List<PeerMessage> samples = new ArrayList<>();
        SuspectCall call =
                new SuspectCall(
                        "c5d7a7c49db7f424",
                        new Prompt(List.of(PART, OTHER_PART), PART),
                        Duration.ofMillis(140));
        samples.add(
                new PeerMessage.CrashReport(
                        DAEMON,
                        RESIDENCY.runner(),
                        Duration.ofMillis(1_200),
                        List.of(call, new SuspectCall("", Prompt.UNKNOWN, Duration.ZERO))));
        samples.add(new PeerMessage.SoundParts(Set.of(PART, OTHER_PART)));
        samples.add(
                new PeerMessage.QuarantineNotice(
                        new PromptPattern(List.of(PART, OTHER_PART)),
                        2,
                        true,
                        true,
                        3,
                        Duration.ofMillis(-5),
                        List.of(RESIDENCY.runner()),
                        List.of("c5d7a7c49db7f424")));
        return samples;
    }
}
