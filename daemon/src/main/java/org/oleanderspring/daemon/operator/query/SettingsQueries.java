package org.oleanderspring.daemon.operator.query;

import java.util.concurrent.CompletableFuture;
import org.oleanderspring.core.settings.command.SettingsDraft;
import org.oleanderspring.daemon.codec.SettingsDocument;
import org.oleanderspring.daemon.operator.SettingsReply;

/** Reads the operators' settings. */
public interface SettingsQueries {
    /** Returns the settings in force. */
    CompletableFuture<SettingsDocument> inForce();

    /**
     * Checks a draft without applying it.
     *
     * @param draft the draft
     * @return whether it is valid, and what it would change
     */
    CompletableFuture<SettingsReply> check(SettingsDraft draft);
}
