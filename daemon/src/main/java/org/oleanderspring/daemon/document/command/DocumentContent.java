package org.oleanderspring.daemon.document.command;

import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.document.VersionedDocument;
import org.oleanderspring.core.placement.Plan;
import org.oleanderspring.daemon.codec.Decoded;
import org.oleanderspring.daemon.codec.PlanCodec;
import org.oleanderspring.daemon.codec.SettingsCodec;
import org.oleanderspring.daemon.codec.SettingsDocument;
import org.oleanderspring.daemon.process.StoreKeys;

/** Decodes stored settings and plans far enough to learn their document number. */
final class DocumentContent {
    private DocumentContent() {}

    /**
     * Decodes a stored value.
     *
     * @param name the name of the document
     * @param bytes the stored value
     * @return the document, or why it cannot be decoded
     */
    static Decoded<VersionedDocument> read(DocumentName name, byte[] bytes) {
        Long number = null;
        String problem = "";
        if (StoreKeys.isPlan(name)) {
            Decoded<Plan> plan = PlanCodec.decode(bytes);
            number = plan instanceof Decoded.Valid<Plan> valid ? valid.value().number() : null;
            problem = problemOf(plan);
        } else {
            Decoded<SettingsDocument> settings = SettingsCodec.decode(bytes);
            number =
                    settings instanceof Decoded.Valid<SettingsDocument> valid
                            ? valid.value().settings().number()
                            : null;
            problem = problemOf(settings);
        }
        return number == null
                ? new Decoded.Broken<>(problem)
                : new Decoded.Valid<>(new VersionedDocument(name, number, bytes));
    }

    private static String problemOf(@Nullable Decoded<?> decoded) {
        return decoded instanceof Decoded.Broken<?> malformed ? malformed.reason() : "";
    }
}
