package org.oleanderspring.peer.codec;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.core.fleet.EndpointId;
import org.oleanderspring.core.quarantine.Prompt;
import org.oleanderspring.core.quarantine.PromptPart;
import org.oleanderspring.core.quarantine.PromptPattern;
import org.oleanderspring.core.quarantine.SuspectCall;
import org.oleanderspring.peer.PeerMessage;
import org.oleanderspring.peer.generated.PeerProtocol;

/** Encodes and decodes the messages about prompts that crash runners. */
final class QuarantineCodec {
    /** Longer than any entry is kept; a much longer time could not be added to the present one. */
    private static final Duration MAX_REMAINING = Duration.ofDays(1);

    private QuarantineCodec() {}

    static PeerProtocol.CrashReport encode(PeerMessage.CrashReport report) {
        PeerProtocol.CrashReport.Builder encoded =
                PeerProtocol.CrashReport.newBuilder()
                        .setReporter(report.reporter().value())
                        .setRunner(report.runner().value())
                        .setAgeMillis(report.age().toMillis());
        for (SuspectCall call : report.calls()) {
            PromptPart own = call.prompt().ownPart();
            encoded.addCallsBuilder()
                    .setRequest(call.request())
                    .addAllSharedParts(ids(call.prompt().sharedParts()))
                    .setOwnPart(own == null ? "" : own.id())
                    .setExposureMillis(call.exposure().toMillis());
        }
        return encoded.build();
    }

    static PeerMessage decode(PeerProtocol.CrashReport report) {
        requireNonEmpty(report.getRunner());
        List<SuspectCall> calls =
                report.getCallsList().stream().map(QuarantineCodec::decodeCall).toList();
        return new PeerMessage.CrashReport(
                new MemberId(report.getReporter()),
                new EndpointId(report.getRunner()),
                age(report.getAgeMillis()),
                calls);
    }

    private static SuspectCall decodeCall(PeerProtocol.SuspectCall call) {
        @Nullable PromptPart own =
                call.getOwnPart().isEmpty() ? null : new PromptPart(call.getOwnPart());
        return new SuspectCall(
                call.getRequest(),
                new Prompt(parts(call.getSharedPartsList()), own),
                age(call.getExposureMillis()));
    }

    private static Duration age(long millis) {
        if (millis < 0 || millis > MAX_REMAINING.toMillis()) {
            throw new IllegalArgumentException("time is out of range: " + millis);
        }
        return Duration.ofMillis(millis);
    }

    static PeerProtocol.SoundParts encode(PeerMessage.SoundParts sound) {
        return PeerProtocol.SoundParts.newBuilder()
                .addAllParts(ids(sound.parts().stream().sorted().toList()))
                .build();
    }

    static PeerMessage decode(PeerProtocol.SoundParts sound) {
        return new PeerMessage.SoundParts(new HashSet<>(parts(sound.getPartsList())));
    }

    static PeerProtocol.QuarantineNotice encode(PeerMessage.QuarantineNotice notice) {
        return PeerProtocol.QuarantineNotice.newBuilder()
                .addAllParts(ids(notice.pattern().parts()))
                .setGeneration(notice.generation())
                .setWithdrawn(notice.isWithdrawn())
                .setConfirmed(notice.isConfirmed())
                .setTrials(notice.trials())
                .setRemainingMillis(notice.remaining().toMillis())
                .addAllRunners(notice.runners().stream().map(EndpointId::value).toList())
                .addAllRequests(notice.requests())
                .build();
    }

    static PeerMessage decode(PeerProtocol.QuarantineNotice notice) {
        if (notice.getGeneration() < 1 || notice.getTrials() < 0) {
            throw new IllegalArgumentException("generation or number of trials is out of range");
        }
        long remaining = notice.getRemainingMillis();
        if (remaining > MAX_REMAINING.toMillis() || remaining < -MAX_REMAINING.toMillis()) {
            throw new IllegalArgumentException("remaining time is out of range");
        }
        notice.getRunnersList().forEach(QuarantineCodec::requireNonEmpty);
        return new PeerMessage.QuarantineNotice(
                new PromptPattern(parts(notice.getPartsList())),
                notice.getGeneration(),
                notice.getWithdrawn(),
                notice.getConfirmed(),
                notice.getTrials(),
                Duration.ofMillis(remaining),
                notice.getRunnersList().stream().map(EndpointId::new).toList(),
                notice.getRequestsList());
    }

    private static List<String> ids(Collection<PromptPart> parts) {
        return parts.stream().map(PromptPart::id).toList();
    }

    private static List<PromptPart> parts(List<String> ids) {
        return ids.stream().map(PromptPart::new).toList();
    }

    private static void requireNonEmpty(String name) {
        if (name.isEmpty()) {
            throw new IllegalArgumentException("the name of a runner is empty");
        }
    }
}
