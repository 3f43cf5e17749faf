package org.oleanderspring.daemon.operator.query;

import java.util.concurrent.CompletableFuture;
import org.oleanderspring.core.settings.command.SettingsDraft;
import org.oleanderspring.daemon.codec.SettingsDocument;
import org.oleanderspring.daemon.operator.SettingsReply;

/** Reads the operators' settings and checks drafts of them. */
public interface SettingsQueries {
    /** Returns the current settings, with their history. */
    CompletableFuture<SettingsDocument> current();

    /**
     * Checks a draft without applying it.
     *
     * @param draft the draft
     * @return the refusal of an invalid draft, or the differences from the current settings
     */
    CompletableFuture<SettingsReply> check(SettingsDraft draft);
}
