package org.oleanderspring.daemon.operator.command;

import org.oleanderspring.daemon.operator.SettingsDraftHandler;

/** Applies settings at {@code POST /settings}. */
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
