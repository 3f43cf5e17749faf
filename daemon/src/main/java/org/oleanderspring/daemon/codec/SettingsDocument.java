package org.oleanderspring.daemon.codec;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.oleanderspring.core.settings.FleetSettings;

/**
 * The settings in force with the latest changes, as the key-value service holds them.
 *
 * @param settings the settings
 * @param history the latest changes, newest first
 */
public record SettingsDocument(FleetSettings settings, List<HistoryEntry> history) {
    /** The document before an operator accepted any settings. */
    public static final SettingsDocument INITIAL =
            new SettingsDocument(FleetSettings.INITIAL, List.of());

    private static final int HISTORY_LIMIT = 20;

    /** Copies the list. */
    public SettingsDocument {
        Objects.requireNonNull(settings, "settings");
        history = List.copyOf(history);
    }

    /**
     * One accepted change.
     *
     * @param number the number of the settings
     * @param author who applied them
     * @param changes one line for each difference to the settings before
     */
    public record HistoryEntry(long number, String author, List<String> changes) {
        /** Copies the list. */
        public HistoryEntry {
            Objects.requireNonNull(author, "author");
            changes = List.copyOf(changes);
        }
    }

    /**
     * Returns the document that follows this one.
     *
     * @param next the next settings
     * @param changes one line for each difference
     */
    public SettingsDocument followedBy(FleetSettings next, List<String> changes) {
        List<HistoryEntry> entries = new ArrayList<>();
        entries.add(new HistoryEntry(next.number(), next.author(), changes));
        entries.addAll(history.subList(0, Math.min(history.size(), HISTORY_LIMIT - 1)));
        return new SettingsDocument(next, entries);
    }
}
