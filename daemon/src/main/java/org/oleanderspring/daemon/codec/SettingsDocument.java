package org.oleanderspring.daemon.codec;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.oleanderspring.core.settings.FleetSettings;

/**
 * The settings and their latest changes, as stored in the key-value service.
 *
 * @param settings the settings
 * @param history the latest changes, newest first
 */
public record SettingsDocument(FleetSettings settings, List<HistoryEntry> history) {
    /** The document before any settings were accepted: settings number 0 and no history. */
    public static final SettingsDocument INITIAL =
            new SettingsDocument(FleetSettings.INITIAL, List.of());

    /** The maximum number of changes in a document; older ones are dropped. */
    private static final int HISTORY_LIMIT = 20;

    /** Copies the list. */
    public SettingsDocument {
        Objects.requireNonNull(settings, "settings");
        history = List.copyOf(history);
    }

    /**
     * One accepted change.
     *
     * @param number the number of the settings that the change created
     * @param author the operator who applied them
     * @param changes one line for each difference from the previous settings
     */
    public record HistoryEntry(long number, String author, List<String> changes) {
        /** Copies the list. */
        public HistoryEntry {
            Objects.requireNonNull(author, "author");
            changes = List.copyOf(changes);
        }
    }

    /**
     * Returns a document with new settings, whose history starts with this change.
     *
     * @param next the new settings
     * @param changes one line for each difference from the settings of this document
     */
    public SettingsDocument followedBy(FleetSettings next, List<String> changes) {
        List<HistoryEntry> entries = new ArrayList<>();
        entries.add(new HistoryEntry(next.number(), next.author(), changes));
        entries.addAll(history.subList(0, Math.min(history.size(), HISTORY_LIMIT - 1)));
        return new SettingsDocument(next, entries);
    }
}
