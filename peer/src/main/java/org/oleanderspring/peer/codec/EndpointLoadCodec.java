package org.oleanderspring.peer.codec;

import java.util.ArrayList;
import java.util.List;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.fleet.EndpointStatement;
import org.oleanderspring.core.fleet.RateLimit;
import org.oleanderspring.core.fleet.StatedLimit;
import org.oleanderspring.core.load.EndpointLoad;
import org.oleanderspring.core.load.EndpointUse;
import org.oleanderspring.peer.PeerMessage;
import org.oleanderspring.peer.generated.PeerProtocol;

/** Encodes and decodes messages about the load of endpoints. */
final class EndpointLoadCodec {
    private static final double PERCENT = 100;
    private static final double LIMIT_SECONDS = 1_000;
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
                    .setLeaving(use.statement().leaving())
                    .setLimitPerThousandSeconds(encodeLimit(use.statement().limit()));
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
                    .setLeaving(load.statement().leaving())
                    .setLimitPerThousandSeconds(encodeLimit(load.statement().limit()));
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
                            statement(use.getLeaving(), use.getLimitPerThousandSeconds())));
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
                            statement(load.getLeaving(), load.getLimitPerThousandSeconds())));
        }
        return new PeerMessage.EndpointLoadNotice(loads);
    }

    private static EndpointStatement statement(boolean leaving, int limitPerThousandSeconds) {
        return new EndpointStatement(
                leaving,
                limitPerThousandSeconds == 0
                        ? new StatedLimit.Unlimited()
                        : new StatedLimit.Limited(
                                decodeLimit(limitPerThousandSeconds).callsPerSecond()));
    }

    /** Returns the limit as the number of calls in {@link #LIMIT_SECONDS}; 0 if there is none. */
    private static int encodeLimit(StatedLimit limit) {
        return limit instanceof StatedLimit.Limited limited ? encodeLimit(limited.limit()) : 0;
    }

    static int encodeLimit(RateLimit limit) {
        return (int) Math.round(limit.callsPerSecond() * LIMIT_SECONDS);
    }

    static RateLimit decodeLimit(int perThousandSeconds) {
        return RateLimit.nearest(WireValues.requireNonNegative(perThousandSeconds) / LIMIT_SECONDS);
    }

    private static int percent(double slowness) {
        return (int) Math.max(1, Math.min(MAX_SLOWNESS_PERCENT, Math.round(slowness * PERCENT)));
    }

    private static double slowness(int percent) {
        return Math.min(MAX_SLOWNESS_PERCENT, WireValues.requireNonNegative(percent)) / PERCENT;
    }
}
