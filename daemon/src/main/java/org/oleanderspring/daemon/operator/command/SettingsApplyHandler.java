package org.oleanderspring.daemon.operator.command;

import org.oleanderspring.daemon.operator.DraftHandler;

/** Serves {@code POST /settings}: applies a settings draft. */
public final class SettingsApplyHandler extends DraftHandler {
    /**
     * Creates the handler.
     *
     * @param commands applies drafts
     */
    public SettingsApplyHandler(SettingsCommands commands) {
        super("/settings", commands::apply);
    }
}
