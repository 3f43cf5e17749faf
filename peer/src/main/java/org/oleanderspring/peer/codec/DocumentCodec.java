package org.oleanderspring.peer.codec;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.oleanderspring.coordination.document.DocumentDigest;
import org.oleanderspring.coordination.document.DocumentName;
import org.oleanderspring.coordination.document.DocumentVersion;
import org.oleanderspring.coordination.document.VersionedDocument;
import org.oleanderspring.coordination.document.WitnessAge;
import org.oleanderspring.peer.PeerMessage;
import org.oleanderspring.peer.generated.PeerProtocol;

/** Encodes and decodes documents, replies to requests for them, and digests. */
final class DocumentCodec {
    private DocumentCodec() {}

    static PeerProtocol.Document encodeDocument(VersionedDocument document) {
        return PeerProtocol.Document.newBuilder()
                .setName(document.name().value())
                .setNumber(document.number())
                .setContent(ByteString.copyFrom(document.bytes()))
                .build();
    }

    static VersionedDocument decodeDocument(PeerProtocol.Document document) {
        return new VersionedDocument(
                new DocumentName(document.getName()),
                document.getNumber(),
                document.getContent().toByteArray());
    }

    static PeerProtocol.DocumentReply encodeDocumentReply(PeerMessage.DocumentReply reply) {
        PeerProtocol.DocumentReply.Builder encoded =
                PeerProtocol.DocumentReply.newBuilder()
                        .setRequestId(reply.requestId())
                        .setDigest(encodeDocumentDigest(reply.digest()));
        VersionedDocument document = reply.document();
        if (document != null) {
            encoded.setDocument(encodeDocument(document));
        }
        return encoded.build();
    }

    static PeerMessage decodeDocumentReply(PeerProtocol.DocumentReply reply) {
        @Nullable VersionedDocument document =
                reply.hasDocument() ? decodeDocument(reply.getDocument()) : null;
        return new PeerMessage.DocumentReply(
                reply.getRequestId(), document, decodeDocumentDigest(reply.getDigest()));
    }

    /** Rounds ages up, so that no daemon appears to have more recent information than it has. */
    static PeerProtocol.DocumentDigest encodeDocumentDigest(DocumentDigest digest) {
        PeerProtocol.DocumentDigest.Builder encoded = PeerProtocol.DocumentDigest.newBuilder();
        for (DocumentVersion version : digest.versions()) {
            encoded.addVersionsBuilder()
                    .setName(version.name().value())
                    .setNumber(version.number())
                    .setChecksum(version.checksum());
        }
        Duration age = digest.serviceAge();
        if (age != null) {
            encoded.setServiceAgeMillis(millisRoundedUp(age));
        }
        for (WitnessAge witness : digest.witnesses()) {
            encoded.addWitnessesBuilder()
                    .setWitness(WireValues.encodeAddress(witness.witness()))
                    .setAgeMillis(millisRoundedUp(witness.age()));
        }
        return encoded.build();
    }

    static DocumentDigest decodeDocumentDigest(PeerProtocol.DocumentDigest digest) {
        List<DocumentVersion> versions =
                digest.getVersionsList().stream()
                        .map(
                                version ->
                                        new DocumentVersion(
                                                new DocumentName(version.getName()),
                                                version.getNumber(),
                                                version.getChecksum()))
                        .toList();
        @Nullable Duration age =
                digest.hasServiceAgeMillis()
                        ? WireValues.decodeDuration(digest.getServiceAgeMillis())
                        : null;
        List<WitnessAge> witnesses =
                digest.getWitnessesList().stream()
                        .map(
                                witness ->
                                        new WitnessAge(
                                                WireValues.decodeAddress(witness.getWitness()),
                                                WireValues.decodeDuration(witness.getAgeMillis())))
                        .toList();
        return new DocumentDigest(versions, age, witnesses);
    }

    static long millisRoundedUp(Duration age) {
        return age.plusNanos(999_999).toMillis();
    }
}
