package org.oleanderspring.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A checkpoint in the catalogue of the weight store.
 *
 * @param name the name of the model or adapter
 * @param base the base model of an adapter, or null for a model
 * @param version the version of the checkpoint
 * @param memoryMegabytes the memory that the loaded checkpoint occupies, in MB
 */
public record CatalogueEntry(
        String name, @Nullable String base, String version, long memoryMegabytes) {
    /**
     * Reads the catalogue of the weight store. A missing text is read as empty, a missing number as
     * 0; of two entries with the same name, the later one applies.
     *
     * @param document the catalogue, an object with the array {@code checkpoints}
     * @return the entries by name
     */
    public static Map<String, CatalogueEntry> readAll(JsonNode document) {
        Map<String, CatalogueEntry> entries = new HashMap<>();
        for (JsonNode node : document.path("checkpoints")) {
            JsonNode base = node.path("base");
            CatalogueEntry entry =
                    new CatalogueEntry(
                            node.path("name").asText(),
                            base.isTextual() ? base.asText() : null,
                            node.path("version").asText(),
                            node.path("memoryMegabytes").asLong());
            entries.put(entry.name(), entry);
        }
        return entries;
    }
}
