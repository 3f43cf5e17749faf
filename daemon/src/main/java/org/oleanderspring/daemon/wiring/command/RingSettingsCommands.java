package org.oleanderspring.daemon.wiring.command;

import java.util.concurrent.CompletableFuture;
import org.oleanderspring.core.settings.command.SettingsDraft;
import org.oleanderspring.daemon.document.command.DocumentInput;
import org.oleanderspring.daemon.operator.SettingsReply;
import org.oleanderspring.daemon.operator.command.SettingsCommands;
import org.oleanderspring.duty.command.OfferResult;

/** Forwards settings drafts from operators to the ring of the document duty. */
public final class RingSettingsCommands implements SettingsCommands {
    private final Rings mRings;

    /**
     * Creates commands whose reply fails if the ring refuses the draft.
     *
     * @param rings the rings of the duties
     */
    public RingSettingsCommands(Rings rings) {
        mRings = rings;
    }

    @Override
    public CompletableFuture<SettingsReply> apply(SettingsDraft draft) {
        CompletableFuture<SettingsReply> reply = new CompletableFuture<>();
        OfferResult result =
                mRings.documentThread().offer(new DocumentInput.DraftReceived(draft, true, reply));
        if (result != OfferResult.ACCEPTED) {
            reply.completeExceptionally(
                    new IllegalStateException("the ring of the document duty is full or closed"));
        }
        return reply;
    }
}
