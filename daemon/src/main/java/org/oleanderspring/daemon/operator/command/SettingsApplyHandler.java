package org.oleanderspring.daemon.operator.command;

import org.oleanderspring.daemon.operator.SettingsDraftHandler;

/** Serves {@code POST /settings}: applies a settings draft. */
public final class SettingsApplyHandler extends SettingsDraftHandler {
    /**
     * Creates the handler.
     *
     * @param commands applies drafts
     */
    public SettingsApplyHandler(SettingsCommands commands) {
        super("/settings", commands::apply);
    }
}
