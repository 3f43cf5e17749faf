package org.oleanderspring.daemon.operator.command;

import java.util.concurrent.CompletableFuture;
import org.oleanderspring.core.settings.command.SettingsDraft;
import org.oleanderspring.daemon.operator.SettingsReply;

/** Changes the operators' settings. */
public interface SettingsCommands {
    /**
     * Validates settings that an operator has written, and stores them as the new version of the
     * settings document.
     *
     * @param draft the settings as written by the operator
     * @return the result; a refusal if the draft is invalid, not based on the current version or
     *     not known to be stored; fails if the ring of the duty that applies drafts is full or
     *     closed
     */
    CompletableFuture<SettingsReply> apply(SettingsDraft draft);
}
