package org.oleanderspring.coordination.lease;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Optional;
import org.oleanderspring.coordination.membership.MemberId;
import org.oleanderspring.coordination.store.StoreLeaseId;

/**
 * The encoding of a lease's key: format version, service lease, write number and writer, separated
 * by single spaces. The writer comes last because it may contain spaces. A handover follows on a
 * line of its own.
 */
public final class LeaseValueCodec {
    private static final String FORMAT_VERSION = "1";
    private static final int FIELDS = 4;
    private static final String HANDOVER_SEPARATOR = "\n";

    private LeaseValueCodec() {}

    /**
     * Encodes a mark.
     *
     * @param mark the mark
     */
    public static byte[] encode(LeaseValue mark) {
        String text =
                String.join(
                        " ",
                        FORMAT_VERSION,
                        Long.toString(mark.serviceLease().value()),
                        Long.toString(mark.writeNumber()),
                        mark.writer().value());
        if (mark.handover() != null) {
            text += HANDOVER_SEPARATOR + mark.handover();
        }
        return text.getBytes(UTF_8);
    }

    /**
     * Decodes a mark.
     *
     * @param bytes the content of the key
     * @return the mark, or empty if the content has another format
     */
    public static Optional<LeaseValue> decode(byte[] bytes) {
        String[] lines = new String(bytes, UTF_8).split(HANDOVER_SEPARATOR, 2);
        String[] fields = lines[0].split(" ", FIELDS);
        if (fields.length != FIELDS || !fields[0].equals(FORMAT_VERSION) || fields[3].isBlank()) {
            return Optional.empty();
        }
        try {
            StoreLeaseId serviceLease = new StoreLeaseId(Long.parseLong(fields[1]));
            long writeNumber = Long.parseLong(fields[2]);
            String handover = lines.length > 1 ? lines[1] : null;
            return Optional.of(
                    new LeaseValue(new MemberId(fields[3]), serviceLease, writeNumber, handover));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }
}
