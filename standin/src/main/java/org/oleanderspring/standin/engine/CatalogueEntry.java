package org.oleanderspring.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A checkpoint as the weight store lists it.
 *
 * @param name the model or adapter
 * @param base the model that an adapter extends, or null
 * @param version the version
 * @param memoryMegabytes the memory that it takes when loaded
 */
public record CatalogueEntry(
        String name, @Nullable String base, String version, long memoryMegabytes) {
    /**
     * Reads the catalogue of the weight store.
     *
     * @param document the document with the array {@code checkpoints}
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
