package org.oleanderspring.daemon.operator.query;

import org.oleanderspring.daemon.operator.SettingsDraftHandler;

/** Checks settings at {@code POST /settings/check}. */
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
