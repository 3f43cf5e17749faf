package org.oleanderspring.core.fleet;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * A reference to a model, or to one of its adapters, as used in calls.
 *
 * @param base the model
 * @param adapter the name of the adapter, or null for the model itself
 */
public record ModelReference(ModelName base, @Nullable String adapter) {
    private static final char SEPARATOR = '/';

    /** Rejects a null model. */
    public ModelReference {
        Objects.requireNonNull(base, "base");
    }

    /**
     * Parses {@code MODEL} or {@code MODEL/ADAPTER}; the adapter is the text after the first slash.
     *
     * @param text the text to parse
     */
    public static ModelReference parse(String text) {
        int separator = text.indexOf(SEPARATOR);
        if (separator < 0) {
            return new ModelReference(new ModelName(text), null);
        }
        return new ModelReference(
                new ModelName(text.substring(0, separator)), text.substring(separator + 1));
    }

    /** Returns a reference to the model itself. */
    public ModelReference withoutAdapter() {
        return adapter == null ? this : new ModelReference(base, null);
    }

    @Override
    public String toString() {
        return adapter == null ? base.value() : base.value() + SEPARATOR + adapter;
    }
}
