package org.oleanderspring.core.settings.query;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.oleanderspring.core.settings.FleetSettings;
import org.oleanderspring.core.settings.ModelSetting;
import org.oleanderspring.core.settings.SettingName;

/** Describes the differences between two versions of the settings, one line per difference. */
public final class SettingsDifference {
    /**
     * Compares two versions.
     *
     * @param before the earlier version
     * @param after the later version
     * @return one line per difference; empty if both versions have the same effect
     */
    public List<String> between(FleetSettings before, FleetSettings after) {
        List<String> lines = new ArrayList<>();
        for (SettingName name : SettingName.values()) {
            long old = before.value(name);
            long current = after.value(name);
            if (old != current) {
                lines.add(name.key() + ": " + old + " -> " + current + " " + name.unit());
            }
        }
        addUnmatched(before.exceptions(), after.exceptions(), "removed exception", lines);
        addUnmatched(after.exceptions(), before.exceptions(), "added exception", lines);
        return lines;
    }

    /** Adds a line for each exception that the other version of the settings does not contain. */
    private static void addUnmatched(
            List<ModelSetting> exceptions,
            List<ModelSetting> otherVersion,
            String change,
            List<String> lines) {
        Set<ModelSetting> inOtherVersion = new HashSet<>(otherVersion);
        for (ModelSetting exception : exceptions) {
            if (!inOtherVersion.contains(exception)) {
                lines.add(
                        change
                                + " for "
                                + exception.model()
                                + ": "
                                + exception.setting().name().key()
                                + " = "
                                + exception.setting().value()
                                + " ("
                                + exception.reason()
                                + ")");
            }
        }
    }
}
