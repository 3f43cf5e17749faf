package org.oleanderspring.coordination.dispatch;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import org.oleanderspring.coordination.lease.FencingToken;
import org.oleanderspring.coordination.membership.MemberId;

/**
 * The binary encoding of active and sealed values, big-endian.
 *
 * <p>Every value starts with a magic number, a format version and its kind, and ends with a CRC-32C
 * checksum of all preceding bytes. Decoding is strict: a wrong checksum, an unknown version, kind
 * or state, a count that exceeds the remaining bytes, and trailing bytes all make the value {@link
 * DecodeResult.Invalid}.
 */
public final class RecordCodec {
    /** The encoded size of one record: 16 bytes of key hash, 1 of state, 4 of time. */
    public static final int RECORD_BYTES = 21;

    /** The ASCII characters OSDR. */
    private static final int MAGIC = 0x4F534452;

    private static final byte FORMAT_VERSION = 1;
    private static final byte KIND_ACTIVE = 1;
    private static final byte KIND_SEALED = 2;

    /** Magic number, format version and kind. */
    private static final int HEADER_BYTES = 6;

    /** The content of an active value without the owner's characters, segments and records. */
    private static final int ACTIVE_FIXED_BYTES = 34;

    /** The content of a sealed value without its records. */
    private static final int SEALED_FIXED_BYTES = 24;

    private static final int SEGMENT_BYTES = 24;
    private static final int CHECKSUM_BYTES = 4;

    /** The index in this list is the encoded state, so the order must not change. */
    private static final List<RecordState> STATES =
            List.of(RecordState.DISPATCHED, RecordState.RAN, RecordState.NOT_RUN);

    private RecordCodec() {}

    /**
     * Encodes an active value.
     *
     * @param value the value
     */
    public static byte[] encode(ActiveValue value) {
        byte[] owner = value.owner().value().getBytes(UTF_8);
        int size =
                ACTIVE_FIXED_BYTES
                        + owner.length
                        + value.sealed().size() * SEGMENT_BYTES
                        + value.records().size() * RECORD_BYTES;
        byte[] bytes = new byte[HEADER_BYTES + size + CHECKSUM_BYTES];
        ByteBuffer buffer = begin(bytes, KIND_ACTIVE);
        buffer.putInt(value.partition().value());
        buffer.putInt(value.partitionCount());
        buffer.putLong(value.term().value());
        buffer.putShort((short) owner.length);
        buffer.put(owner);
        buffer.putLong(value.writeNumber());
        buffer.putInt(value.sealed().size());
        for (SealedSegment segment : value.sealed()) {
            buffer.putInt(segment.slot());
            buffer.putLong(segment.term());
            buffer.putLong(segment.writeNumber());
            buffer.putInt((int) segment.latestSeconds());
        }
        putRecords(buffer, value.records());
        buffer.putInt(checksum(bytes, buffer.position()));
        return bytes;
    }

    /**
     * Encodes a sealed value.
     *
     * @param value the value
     */
    public static byte[] encode(SealedValue value) {
        int size = SEALED_FIXED_BYTES + value.records().size() * RECORD_BYTES;
        byte[] bytes = new byte[HEADER_BYTES + size + CHECKSUM_BYTES];
        ByteBuffer buffer = begin(bytes, KIND_SEALED);
        buffer.putInt(value.partition().value());
        buffer.putLong(value.term());
        buffer.putLong(value.writeNumber());
        putRecords(buffer, value.records());
        buffer.putInt(checksum(bytes, buffer.position()));
        return bytes;
    }

    /**
     * Decodes an active value.
     *
     * @param bytes the stored bytes
     */
    public static DecodeResult<ActiveValue> decodeActive(byte[] bytes) {
        return decode(bytes, KIND_ACTIVE, RecordCodec::readActive);
    }

    /**
     * Decodes a sealed value.
     *
     * @param bytes the stored bytes
     */
    public static DecodeResult<SealedValue> decodeSealed(byte[] bytes) {
        return decode(bytes, KIND_SEALED, RecordCodec::readSealed);
    }

    private interface Reader<T> {
        T read(ByteBuffer buffer) throws InvalidValueException;
    }

    private static <T> DecodeResult<T> decode(byte[] bytes, byte kind, Reader<T> reader) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        try {
            checkFrame(bytes, buffer, kind);
            T value = reader.read(buffer);
            if (buffer.hasRemaining()) {
                return new DecodeResult.Invalid<>(buffer.remaining() + " bytes are left over");
            }
            return new DecodeResult.Decoded<>(value);
        } catch (InvalidValueException invalid) {
            return new DecodeResult.Invalid<>(invalid.getMessage());
        } catch (BufferUnderflowException tooShort) {
            return new DecodeResult.Invalid<>("the value ends too early");
        } catch (IllegalArgumentException outOfRange) {
            return new DecodeResult.Invalid<>(String.valueOf(outOfRange.getMessage()));
        }
    }

    /** Checks the header and the checksum, and limits the buffer to the content between them. */
    private static void checkFrame(byte[] bytes, ByteBuffer buffer, byte kind)
            throws InvalidValueException {
        require(bytes.length >= HEADER_BYTES + CHECKSUM_BYTES, "the value is too short");
        int contentEnd = bytes.length - CHECKSUM_BYTES;
        int stored = buffer.getInt(contentEnd);
        require(stored == checksum(bytes, contentEnd), "the checksum does not match");
        buffer.limit(contentEnd);
        require(buffer.getInt() == MAGIC, "the value is not a dispatch record");
        byte version = buffer.get();
        require(version == FORMAT_VERSION, "unknown format version " + version);
        byte found = buffer.get();
        require(found == kind, "unexpected kind " + found);
    }

    private static ActiveValue readActive(ByteBuffer buffer) throws InvalidValueException {
        PartitionId partition = new PartitionId(buffer.getInt());
        int partitionCount = buffer.getInt();
        FencingToken term = new FencingToken(buffer.getLong());
        byte[] owner = new byte[Short.toUnsignedInt(buffer.getShort())];
        buffer.get(owner);
        long writeNumber = buffer.getLong();
        int segmentCount = count(buffer, SEGMENT_BYTES);
        List<SealedSegment> sealed = new ArrayList<>(segmentCount);
        for (int index = 0; index < segmentCount; index++) {
            sealed.add(
                    new SealedSegment(
                            buffer.getInt(),
                            buffer.getLong(),
                            buffer.getLong(),
                            Integer.toUnsignedLong(buffer.getInt())));
        }
        return new ActiveValue(
                partition,
                partitionCount,
                term,
                new MemberId(new String(owner, UTF_8)),
                writeNumber,
                sealed,
                readRecords(buffer));
    }

    private static SealedValue readSealed(ByteBuffer buffer) throws InvalidValueException {
        return new SealedValue(
                new PartitionId(buffer.getInt()),
                buffer.getLong(),
                buffer.getLong(),
                readRecords(buffer));
    }

    private static List<DispatchRecord> readRecords(ByteBuffer buffer)
            throws InvalidValueException {
        int recordCount = count(buffer, RECORD_BYTES);
        List<DispatchRecord> records = new ArrayList<>(recordCount);
        for (int index = 0; index < recordCount; index++) {
            KeyHash key = new KeyHash(buffer.getLong(), buffer.getLong());
            int state = buffer.get();
            require(state >= 0 && state < STATES.size(), "unknown record state " + state);
            long seconds = Integer.toUnsignedLong(buffer.getInt());
            records.add(new DispatchRecord(key, STATES.get(state), seconds));
        }
        return records;
    }

    private static int count(ByteBuffer buffer, int entryBytes) throws InvalidValueException {
        int count = buffer.getInt();
        boolean fits = count >= 0 && count <= buffer.remaining() / entryBytes;
        require(fits, "the count " + count + " does not fit");
        return count;
    }

    private static void putRecords(ByteBuffer buffer, List<DispatchRecord> records) {
        buffer.putInt(records.size());
        for (DispatchRecord record : records) {
            buffer.putLong(record.key().high());
            buffer.putLong(record.key().low());
            buffer.put((byte) STATES.indexOf(record.state()));
            buffer.putInt((int) record.recordedAtSeconds());
        }
    }

    private static ByteBuffer begin(byte[] bytes, byte kind) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        buffer.putInt(MAGIC);
        buffer.put(FORMAT_VERSION);
        buffer.put(kind);
        return buffer;
    }

    private static int checksum(byte[] bytes, int length) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes, 0, length);
        return (int) checksum.getValue();
    }

    private static void require(boolean condition, String reason) throws InvalidValueException {
        if (!condition) {
            throw new InvalidValueException(reason);
        }
    }

    /** Thrown when a value cannot be decoded; always caught within this class. */
    private static final class InvalidValueException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidValueException(String reason) {
            super(reason);
        }

        @Override
        public String getMessage() {
            return String.valueOf(super.getMessage());
        }
    }
}
