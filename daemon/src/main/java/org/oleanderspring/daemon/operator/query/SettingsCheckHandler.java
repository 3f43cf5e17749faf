package org.oleanderspring.daemon.operator.query;

import org.oleanderspring.daemon.operator.SettingsDraftHandler;

/** Serves {@code POST /settings/check}: checks a settings draft without applying it. */
public final class SettingsCheckHandler extends SettingsDraftHandler {
    /**
     * Creates the handler.
     *
     * @param queries checks drafts
     */
    public SettingsCheckHandler(SettingsQueries queries) {
        super("/settings/check", queries::check);
    }
}
