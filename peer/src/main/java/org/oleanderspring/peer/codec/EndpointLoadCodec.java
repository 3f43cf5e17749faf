package org.oleanderspring.peer.codec;

import java.util.ArrayList;
import java.util.List;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointStatement;
import org.oleanderspring.core.load.EndpointLoad;
import org.oleanderspring.core.load.EndpointUse;
import org.oleanderspring.peer.PeerMessage;
import org.oleanderspring.peer.generated.PeerProtocol;

/** Encodes and decodes messages about the load of endpoints. */
final class EndpointLoadCodec {
    private static final double PERCENT = 100;
    private static final int MAX_SLOWNESS_PERCENT = 100_000;

    private EndpointLoadCodec() {}

    static PeerProtocol.EndpointUseReport encode(PeerMessage.EndpointUseReport report) {
        PeerProtocol.EndpointUseReport.Builder encoded =
                PeerProtocol.EndpointUseReport.newBuilder().setDaemon(report.daemon().value());
        for (EndpointUse use : report.uses()) {
            encoded.addUsesBuilder()
                    .setEndpoint(use.endpoint().value())
                    .setRunning(use.running())
                    .setAnswered(use.answered())
                    .setSlownessPercent(use.answered() == 0 ? 0 : percent(use.slowness()))
                    .setLeaving(use.statement().leaving());
        }
        return encoded.build();
    }

    static PeerProtocol.EndpointLoadNotice encode(PeerMessage.EndpointLoadNotice notice) {
        PeerProtocol.EndpointLoadNotice.Builder encoded =
                PeerProtocol.EndpointLoadNotice.newBuilder();
        for (EndpointLoad load : notice.loads()) {
            encoded.addLoadsBuilder()
                    .setEndpoint(load.endpoint().value())
                    .setRunning(load.running())
                    .setSlownessPercent(percent(load.slowness()))
                    .setLeaving(load.statement().leaving());
        }
        return encoded.build();
    }

    static PeerMessage decode(PeerProtocol.EndpointUseReport report) {
        List<EndpointUse> uses = new ArrayList<>();
        for (PeerProtocol.EndpointUse use : report.getUsesList()) {
            int answered = WireValues.requireNonNegative(use.getAnswered());
            uses.add(
                    new EndpointUse(
                            new EndpointId(WireValues.nonEmpty(use.getEndpoint())),
                            WireValues.requireNonNegative(use.getRunning()),
                            answered,
                            answered == 0 ? 1 : slowness(use.getSlownessPercent()),
                            new EndpointStatement(use.getLeaving())));
        }
        return new PeerMessage.EndpointUseReport(
                new MemberId(WireValues.nonEmpty(report.getDaemon())), uses);
    }

    static PeerMessage decode(PeerProtocol.EndpointLoadNotice notice) {
        List<EndpointLoad> loads = new ArrayList<>();
        for (PeerProtocol.EndpointLoad load : notice.getLoadsList()) {
            loads.add(
                    new EndpointLoad(
                            new EndpointId(WireValues.nonEmpty(load.getEndpoint())),
                            WireValues.requireNonNegative(load.getRunning()),
                            slowness(load.getSlownessPercent()),
                            new EndpointStatement(load.getLeaving())));
        }
        return new PeerMessage.EndpointLoadNotice(loads);
    }

    private static int percent(double slowness) {
        return (int) Math.max(1, Math.min(MAX_SLOWNESS_PERCENT, Math.round(slowness * PERCENT)));
    }

    private static double slowness(int percent) {
        return Math.min(MAX_SLOWNESS_PERCENT, WireValues.requireNonNegative(percent)) / PERCENT;
    }
}
