package org.oleanderspring.daemon.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.oleanderspring.core.settings.FleetSettings;
import org.oleanderspring.core.settings.ModelSetting;
import org.oleanderspring.core.settings.SettingValue;
import org.oleanderspring.core.settings.command.SettingsDraft;
import org.oleanderspring.core.settings.command.SettingsValidation;
import org.oleanderspring.core.settings.command.SettingsValidator;

/** Encodes and decodes settings documents, and decodes the drafts of operators. */
public final class SettingsCodec {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
                    .build();

    private SettingsCodec() {}

    /**
     * Encodes a document for the key-value service.
     *
     * @param document the document
     * @return UTF-8 JSON
     */
    public static byte[] encode(SettingsDocument document) {
        ObjectNode root = toJson(document.settings());
        root.put("number", document.settings().number());
        // The number of stored settings is always one higher than that on which they are based.
        root.remove("basedOn");
        root.set("history", toJson(document.history()));
        try {
            return MAPPER.writeValueAsString(root).getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException fault) {
            throw new IllegalStateException(
                    "could not encode settings number " + document.settings().number(), fault);
        }
    }

    /**
     * Decodes a document from the key-value service. Rejects invalid JSON and settings that are
     * unknown or out of range. Unknown fields are ignored, and missing fields of the history are
     * read as empty or 0.
     *
     * @param bytes the encoded document, UTF-8 JSON
     */
    public static DecodedDocument<SettingsDocument> decode(byte[] bytes) {
        JsonNode root;
        try {
            root = MAPPER.readTree(bytes);
        } catch (IOException failure) {
            return new DecodedDocument.Malformed<>(reasonOf(failure));
        }
        if (root == null || !root.path("number").isIntegralNumber()) {
            return new DecodedDocument.Malformed<>("field number is missing");
        }
        // The validator numbers settings one higher than the number on which a draft is based.
        DecodedDocument<SettingsDraft> draft = draftOf(root, root.path("number").asLong() - 1);
        if (draft instanceof DecodedDocument.Malformed<SettingsDraft> malformed) {
            return new DecodedDocument.Malformed<>(malformed.reason());
        }
        SettingsValidation validation =
                new SettingsValidator()
                        .validate(((DecodedDocument.Valid<SettingsDraft>) draft).value());
        if (validation instanceof SettingsValidation.Invalid invalid) {
            return new DecodedDocument.Malformed<>(invalid.problems().get(0).text());
        }
        FleetSettings settings = ((SettingsValidation.Valid) validation).settings();
        return new DecodedDocument.Valid<>(new SettingsDocument(settings, historyOf(root)));
    }

    /**
     * Decodes an operator's draft. Unknown fields are refused, so that a misspelled field is not
     * ignored; the values are not checked here.
     *
     * @param bytes the draft, UTF-8 JSON
     */
    public static DecodedDocument<SettingsDraft> decodeDraft(byte[] bytes) {
        JsonNode root;
        try {
            root = MAPPER.readTree(bytes);
        } catch (IOException failure) {
            return new DecodedDocument.Malformed<>(reasonOf(failure));
        }
        if (root == null || !root.path("basedOn").isIntegralNumber()) {
            return new DecodedDocument.Malformed<>("field basedOn is missing");
        }
        for (Map.Entry<String, JsonNode> field : root.properties()) {
            if (!List.of("basedOn", "author", "defaults", "exceptions").contains(field.getKey())) {
                return new DecodedDocument.Malformed<>("unknown field " + field.getKey());
            }
        }
        return draftOf(root, root.path("basedOn").asLong());
    }

    /**
     * Returns settings in the form of a draft that is based on them and changes no value.
     *
     * @param settings the settings
     */
    public static ObjectNode toJson(FleetSettings settings) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("basedOn", settings.number());
        root.put("author", settings.author());
        ObjectNode defaults = root.putObject("defaults");
        for (SettingValue value : settings.defaults()) {
            defaults.put(value.name().key(), value.value());
        }
        ArrayNode exceptions = root.putArray("exceptions");
        for (ModelSetting modelSetting : settings.exceptions()) {
            ObjectNode entry = exceptions.addObject();
            entry.put("model", modelSetting.model().value());
            entry.put("setting", modelSetting.setting().name().key());
            entry.put("value", modelSetting.setting().value());
            entry.put("reason", modelSetting.reason());
        }
        return root;
    }

    /**
     * Returns the history of changes as JSON.
     *
     * @param history the changes, newest first
     */
    public static ArrayNode toJson(List<SettingsDocument.HistoryEntry> history) {
        ArrayNode entries = MAPPER.createArrayNode();
        for (SettingsDocument.HistoryEntry change : history) {
            ObjectNode entry = entries.addObject();
            entry.put("number", change.number());
            entry.put("author", change.author());
            change.changes().forEach(entry.putArray("changes")::add);
        }
        return entries;
    }

    /**
     * Returns the message in one line; Jackson's full message appends the location on a second
     * line.
     */
    private static String reasonOf(IOException failure) {
        return failure instanceof JsonProcessingException malformed
                ? malformed.getOriginalMessage()
                : String.valueOf(failure.getMessage());
    }

    private static DecodedDocument<SettingsDraft> draftOf(JsonNode root, long basedOn) {
        if (basedOn < 0) {
            return new DecodedDocument.Malformed<>("field basedOn is negative");
        }
        JsonNode defaults = root.path("defaults");
        JsonNode exceptions = root.path("exceptions");
        if (!(defaults.isMissingNode() || defaults.isObject())) {
            return new DecodedDocument.Malformed<>("field defaults is not an object");
        }
        if (!(exceptions.isMissingNode() || exceptions.isArray())) {
            return new DecodedDocument.Malformed<>("field exceptions is not an array");
        }
        List<SettingsDraft.DraftValue> values = new ArrayList<>();
        for (Map.Entry<String, JsonNode> field : defaults.properties()) {
            if (!field.getValue().canConvertToLong() || !field.getValue().isIntegralNumber()) {
                return new DecodedDocument.Malformed<>(field.getKey() + " is not a whole number");
            }
            values.add(new SettingsDraft.DraftValue(field.getKey(), field.getValue().asLong()));
        }
        List<SettingsDraft.DraftModelSetting> modelSettings = new ArrayList<>();
        for (JsonNode entry : exceptions) {
            if (!entry.path("value").isIntegralNumber()) {
                return new DecodedDocument.Malformed<>("an exception has no whole number as value");
            }
            modelSettings.add(
                    new SettingsDraft.DraftModelSetting(
                            entry.path("model").asText(),
                            new SettingsDraft.DraftValue(
                                    entry.path("setting").asText(), entry.path("value").asLong()),
                            entry.path("reason").asText()));
        }
        return new DecodedDocument.Valid<>(
                new SettingsDraft(basedOn, root.path("author").asText(), values, modelSettings));
    }

    private static List<SettingsDocument.HistoryEntry> historyOf(JsonNode root) {
        List<SettingsDocument.HistoryEntry> history = new ArrayList<>();
        for (JsonNode entry : root.path("history")) {
            List<String> changes = new ArrayList<>();
            entry.path("changes").forEach(line -> changes.add(line.asText()));
            history.add(
                    new SettingsDocument.HistoryEntry(
                            entry.path("number").asLong(), entry.path("author").asText(), changes));
        }
        return history;
    }
}
