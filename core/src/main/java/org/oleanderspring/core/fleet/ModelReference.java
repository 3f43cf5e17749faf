package org.oleanderspring.core.fleet;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * A model, or one adapter of it, as a call names it.
 *
 * @param base the model
 * @param adapter the name of the adapter, or null for the model itself
 */
public record ModelReference(ModelName base, @Nullable String adapter) {
    private static final char SEPARATOR = '/';

    /** Checks for a missing base. */
    public ModelReference {
        Objects.requireNonNull(base, "base");
    }

    /**
     * Reads {@code MODEL} or {@code MODEL/ADAPTER}.
     *
     * @param text the text
     */
    public static ModelReference parse(String text) {
        int separator = text.indexOf(SEPARATOR);
        if (separator < 0) {
            return new ModelReference(new ModelName(text), null);
        }
        return new ModelReference(
                new ModelName(text.substring(0, separator)), text.substring(separator + 1));
    }

    /** Returns the reference to the model without its adapter. */
    public ModelReference withoutAdapter() {
        return adapter == null ? this : new ModelReference(base, null);
    }

    @Override
    public String toString() {
        return adapter == null ? base.value() : base.value() + SEPARATOR + adapter;
    }
}
