package org.oleanderspring.daemon.document.command;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.oleanderspring.coordination.document.ChangeId;
import org.oleanderspring.coordination.document.ChangeResult;
import org.oleanderspring.coordination.document.VersionedDocument;
import org.oleanderspring.coordination.document.command.DocumentDecision;
import org.oleanderspring.coordination.document.command.DocumentEvent;
import org.oleanderspring.core.message.ErrorMessage;
import org.oleanderspring.core.settings.FleetSettings;
import org.oleanderspring.core.settings.command.SettingsValidation;
import org.oleanderspring.core.settings.command.SettingsValidator;
import org.oleanderspring.core.settings.query.SettingsDifference;
import org.oleanderspring.daemon.codec.DecodedDocument;
import org.oleanderspring.daemon.codec.SettingsCodec;
import org.oleanderspring.daemon.codec.SettingsDocument;
import org.oleanderspring.daemon.operator.SettingsReply;
import org.oleanderspring.daemon.process.StoreKeys;

/**
 * Checks the drafts of operators, proposes them as changes, and replies when the outcome of a
 * change is known. Confined to the document thread.
 */
final class SettingsDraftProcessor {
    private final Map<ChangeId, PendingChange> mPendingChanges = new HashMap<>();
    private SettingsDocument mCurrent = SettingsDocument.INITIAL;
    private long mNextChangeNumber = 1;

    /**
     * A proposed change whose outcome is not known yet.
     *
     * @param before the settings on which the change is based
     * @param number the settings number after the change
     * @param reply completed when the outcome is known
     */
    private record PendingChange(
            SettingsDocument before, long number, CompletableFuture<SettingsReply> reply) {}

    SettingsDocument current() {
        return mCurrent;
    }

    void setCurrent(SettingsDocument document) {
        mCurrent = document;
    }

    /**
     * Replies to a draft that is invalid, outdated or only to be checked. Any other draft is
     * returned as a proposed change.
     */
    Optional<DocumentEvent> process(DocumentInput.DraftReceived received) {
        SettingsValidation validation = new SettingsValidator().validate(received.draft());
        if (validation instanceof SettingsValidation.Invalid invalid) {
            String text =
                    invalid.problems().stream()
                            .map(SettingsValidation.SettingsProblem::text)
                            .collect(Collectors.joining("; "));
            received.reply()
                    .complete(new SettingsReply.Refused(invalid.problems().get(0).message(), text));
            return Optional.empty();
        }
        FleetSettings next = ((SettingsValidation.Valid) validation).settings();
        List<String> changes = new SettingsDifference().between(mCurrent.settings(), next);
        if (!received.apply()) {
            received.reply().complete(new SettingsReply.Checked(changes));
            return Optional.empty();
        }
        if (received.draft().basedOn() != mCurrent.settings().number()) {
            received.reply().complete(conflict(received.draft().basedOn(), mCurrent));
            return Optional.empty();
        }
        ChangeId change = new ChangeId(mNextChangeNumber++);
        mPendingChanges.put(change, new PendingChange(mCurrent, next.number(), received.reply()));
        byte[] bytes = SettingsCodec.encode(mCurrent.followedBy(next, changes));
        return Optional.of(
                new DocumentEvent.ChangeProposed(
                        change, new VersionedDocument(StoreKeys.SETTINGS, next.number(), bytes)));
    }

    void completeReply(DocumentDecision.ReportChangeResult report) {
        PendingChange pending = mPendingChanges.remove(report.change());
        if (pending != null) {
            pending.reply().complete(replyOf(pending, report.result()));
        }
    }

    private SettingsReply replyOf(PendingChange pending, ChangeResult result) {
        if (result instanceof ChangeResult.Accepted) {
            return new SettingsReply.Accepted(pending.number());
        }
        if (result instanceof ChangeResult.Superseded superseded) {
            return superseded(pending, superseded);
        }
        if (result instanceof ChangeResult.Unavailable unavailable) {
            return unavailable(unavailable.reason());
        }
        if (result instanceof ChangeResult.DocumentMissing) {
            return unavailable("no settings exist yet; the first ones are based on number 0");
        }
        return unavailable("the write got no reply; show the settings to see whether they apply");
    }

    private SettingsReply superseded(PendingChange pending, ChangeResult.Superseded superseded) {
        DecodedDocument<SettingsDocument> current =
                SettingsCodec.decode(superseded.current().bytes());
        if (current instanceof DecodedDocument.Valid<SettingsDocument> valid) {
            return conflict(pending.before().settings().number(), valid.value());
        }
        return unavailable("another operator changed the settings");
    }

    /** Refuses a draft and lists the changes made since the settings on which it is based. */
    private static SettingsReply conflict(long basedOn, SettingsDocument current) {
        String changes =
                current.history().stream()
                        .filter(entry -> entry.number() > basedOn)
                        .map(entry -> entry.author() + ": " + String.join(", ", entry.changes()))
                        .collect(Collectors.joining("; "));
        return new SettingsReply.Refused(
                ErrorMessage.SETTINGS_CONFLICT,
                ErrorMessage.SETTINGS_CONFLICT.format(
                        Long.toString(current.settings().number()),
                        changes.isEmpty() ? "the draft is based on a later number" : changes));
    }

    private static SettingsReply unavailable(String reason) {
        return new SettingsReply.Refused(
                ErrorMessage.SETTINGS_UNAVAILABLE,
                ErrorMessage.SETTINGS_UNAVAILABLE.format(reason));
    }
}
