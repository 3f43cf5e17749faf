package org.oleanderspring.core.settings.query;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.oleanderspring.core.settings.FleetSettings;
import org.oleanderspring.core.settings.ModelSetting;
import org.oleanderspring.core.settings.SettingName;

/** Lists what differs between two sets of settings, one line each. */
public final class SettingsDifference {
    /**
     * Compares two sets.
     *
     * @param before the earlier set
     * @param after the later set
     * @return one line for each difference; empty if both have the same effect
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
        addMissing(before.exceptions(), after.exceptions(), "removed exception", lines);
        addMissing(after.exceptions(), before.exceptions(), "added exception", lines);
        return lines;
    }

    private static void addMissing(
            List<ModelSetting> present,
            List<ModelSetting> other,
            String change,
            List<String> lines) {
        Set<ModelSetting> others = new HashSet<>(other);
        for (ModelSetting exception : present) {
            if (!others.contains(exception)) {
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
