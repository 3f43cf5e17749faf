package org.oleanderspring.daemon.document.command;

import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.document.VersionedDocument;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.daemon.codec.DecodedDocument;
import org.oleanderspring.daemon.codec.PlanCodec;
import org.oleanderspring.daemon.codec.SettingsCodec;
import org.oleanderspring.daemon.codec.SettingsDocument;
import org.oleanderspring.daemon.process.StoreKeys;

/** Checks that stored settings and plans can be decoded, and determines their document number. */
final class StoredDocumentDecoder {
    private StoredDocumentDecoder() {}

    /**
     * Decodes a stored value.
     *
     * @param name the name of the document
     * @param bytes the stored value
     * @return the document, still encoded, or why it cannot be decoded
     */
    static DecodedDocument<VersionedDocument> decode(DocumentName name, byte[] bytes) {
        Long number = null;
        String problem = "";
        if (StoreKeys.isPlan(name)) {
            DecodedDocument<Plan> plan = PlanCodec.decode(bytes);
            number =
                    plan instanceof DecodedDocument.Valid<Plan> valid
                            ? valid.value().number()
                            : null;
            problem = reasonOf(plan);
        } else {
            DecodedDocument<SettingsDocument> settings = SettingsCodec.decode(bytes);
            number =
                    settings instanceof DecodedDocument.Valid<SettingsDocument> valid
                            ? valid.value().settings().number()
                            : null;
            problem = reasonOf(settings);
        }
        return number == null
                ? new DecodedDocument.Malformed<>(problem)
                : new DecodedDocument.Valid<>(new VersionedDocument(name, number, bytes));
    }

    private static String reasonOf(@Nullable DecodedDocument<?> decoded) {
        return decoded instanceof DecodedDocument.Malformed<?> malformed ? malformed.reason() : "";
    }
}
