package org.oleanderspring.daemon.operator.command;

import java.util.concurrent.CompletableFuture;
import org.oleanderspring.core.settings.command.SettingsDraft;
import org.oleanderspring.daemon.operator.SettingsReply;

/** Changes the operators' settings. */
public interface SettingsCommands {
    /**
     * Applies a draft.
     *
     * @param draft the draft
     * @return the result; fails if the duty that applies drafts did not accept it
     */
    CompletableFuture<SettingsReply> apply(SettingsDraft draft);
}
