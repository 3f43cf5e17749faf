package org.oleanderspring.coordination.lease;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Optional;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.StoreEra;
import org.oleanderspring.coordination.store.StoreLeaseId;

/**
 * Encodes the value of a lease's key as UTF-8 text: format version, service lease, write number and
 * writer, separated by single spaces. The writer comes last because it may contain spaces. Handover
 * data, if any, follows after a line break. Format 2 has the era after the format version; it is
 * used if the key-value service names eras.
 */
public final class LeaseValueCodec {
    private static final String FORMAT_VERSION = "1";
    private static final String FORMAT_VERSION_WITH_ERA = "2";
    private static final int FIELDS = 4;
    private static final String HANDOVER_SEPARATOR = "\n";

    private LeaseValueCodec() {}

    /**
     * Encodes a lease value.
     *
     * @param value the lease value
     */
    public static byte[] encode(LeaseValue value) {
        boolean hasNoEra = value.era().equals(StoreEra.UNKNOWN);
        String text =
                String.join(
                        " ",
                        hasNoEra ? FORMAT_VERSION : FORMAT_VERSION_WITH_ERA + " " + value.era(),
                        Long.toString(value.serviceLease().value()),
                        Long.toString(value.writeNumber()),
                        value.writer().value());
        if (value.handover() != null) {
            text += HANDOVER_SEPARATOR + value.handover();
        }
        return text.getBytes(UTF_8);
    }

    /**
     * Decodes a lease value.
     *
     * @param bytes the bytes stored under the key
     * @return the lease value, or empty if the bytes are not in this format
     */
    public static Optional<LeaseValue> decode(byte[] bytes) {
        String[] lines = new String(bytes, UTF_8).split(HANDOVER_SEPARATOR, 2);
        int eraFields = lines[0].startsWith(FORMAT_VERSION_WITH_ERA + " ") ? 1 : 0;
        String[] fields = lines[0].split(" ", FIELDS + eraFields);
        boolean isKnownFormat = eraFields == 1 || fields[0].equals(FORMAT_VERSION);
        if (!isKnownFormat || fields.length != FIELDS + eraFields) {
            return Optional.empty();
        }
        String writer = fields[fields.length - 1];
        if (writer.isBlank()) {
            return Optional.empty();
        }
        try {
            StoreEra era =
                    eraFields == 1 ? new StoreEra(Long.parseLong(fields[1])) : StoreEra.UNKNOWN;
            StoreLeaseId serviceLease = new StoreLeaseId(Long.parseLong(fields[1 + eraFields]));
            long writeNumber = Long.parseLong(fields[2 + eraFields]);
            String handover = lines.length > 1 ? lines[1] : null;
            return Optional.of(
                    new LeaseValue(new MemberId(writer), serviceLease, writeNumber, handover, era));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }
}
