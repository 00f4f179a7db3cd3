package gullspar.journal;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The format of a segment (docs/journal-format.md): a header with the version, the segment's number and the
 * number of records in the journal before it; then records, each with a header that has its own checksum, so
 * that the next record can be found after a damaged one.
 */
public final class Segment {
    /** The version that is written, and the newest that can be read. */
    public static final int VERSION = 1;
    /** Sizes of a segment's header and of a record's header. */
    public static final int HEADER_BYTES = 40, RECORD_HEADER_BYTES = 16;
    /** A record header with a larger length is invalid. */
    static final int MAX_PAYLOAD_BYTES = 64 << 10;

    private static final long MAGIC = 0x47554c4c4a524e4cL; // GULLJRNL
    private static final short RECORD_MARK = (short) 0xa75e;

    /** The header of a segment. recordsBefore: number of records in the segments before it. */
    public record Header(int version, long number, long recordsBefore, long createdMs) {}

    private Segment() {}

    private static int checksum(byte[] bytes, int from, int to) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, to - from);
        return (int) crc.getValue();
    }

    /** The segment was written by a newer version of the program. */
    public static final class UnsupportedVersionException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        UnsupportedVersionException(String message) {
            super(message);
        }
    }

    /** Encodes a header. */
    public static byte[] header(long number, long recordsBefore, long createdMs) {
        return header(VERSION, number, recordsBefore, createdMs);
    }

    /** Encodes a header of the given version. */
    static byte[] header(int version, long number, long recordsBefore, long createdMs) {
        ByteBuffer b = ByteBuffer.allocate(HEADER_BYTES);
        b.putLong(MAGIC)
                .putShort((short) version)
                .putShort((short) 0)
                .putLong(number)
                .putLong(recordsBefore)
                .putLong(createdMs);
        return b.putInt(checksum(b.array(), 0, HEADER_BYTES - 4)).array();
    }

    /**
     * Decodes a header. Throws IllegalArgumentException if it is damaged or not a header, and
     * UnsupportedVersionException if its version is too new. All versions share the header layout, so the
     * checksum is verified first.
     */
    public static Header header(byte[] bytes) {
        ByteBuffer b = ByteBuffer.wrap(bytes);
        if (bytes.length < HEADER_BYTES || b.getLong() != MAGIC) {
            throw new IllegalArgumentException("this is not a journal segment");
        }
        if (b.getInt(HEADER_BYTES - 4) != checksum(bytes, 0, HEADER_BYTES - 4)) {
            throw new IllegalArgumentException("the header of this segment is damaged: its checksum does not match");
        }
        int version = b.getShort() & 0xffff;
        if (version > VERSION) {
            throw new UnsupportedVersionException(
                    "this segment has version " + version + ", but this program reads versions up to " + VERSION);
        }
        b.getShort();
        return new Header(version, b.getLong(), b.getLong(), b.getLong());
    }

    /** Encodes an entry as a record. */
    public static byte[] encodeRecord(Entry e) {
        byte[] payload = EntryCodec.encode(e);
        ByteBuffer b = ByteBuffer.allocate(RECORD_HEADER_BYTES + payload.length);
        b.putShort(RECORD_MARK).put(EntryCodec.type(e)).put((byte) 0).putInt(payload.length);
        b.putInt(checksum(b.array(), 0, 8)).putInt(checksum(payload, 0, payload.length));
        return b.put(payload).array();
    }

    /** The payload length in a record's header; -1 if this is not a valid record header. */
    static int payloadLength(byte[] bytes, int at) {
        ByteBuffer b = ByteBuffer.wrap(bytes, at, RECORD_HEADER_BYTES);
        boolean mark = b.getShort() == RECORD_MARK;
        b.getShort();
        int length = b.getInt();
        return mark && b.getInt() == checksum(bytes, at, at + 8) && length >= 0 && length <= MAX_PAYLOAD_BYTES
                ? length
                : -1;
    }

    /** Whether the payload matches the checksum in the record's header. */
    static boolean payloadMatches(byte[] bytes, int at, int length) {
        return ByteBuffer.wrap(bytes).getInt(at + 12)
                == checksum(bytes, at + RECORD_HEADER_BYTES, at + RECORD_HEADER_BYTES + length);
    }

    /** The entry type in a record's header. */
    static byte recordType(byte[] bytes, int at) {
        return bytes[at + 2];
    }

    /** Whether these last bytes may be the start of a record that was not written completely. */
    static boolean isRecordPrefix(byte[] bytes, int at, int end) {
        if (end - at >= RECORD_HEADER_BYTES) {
            int length = payloadLength(bytes, at);
            return length >= 0 && end - at < RECORD_HEADER_BYTES + length;
        }
        return end - at < 1
                || bytes[at] == (byte) (RECORD_MARK >> 8) && (end - at < 2 || bytes[at + 1] == (byte) RECORD_MARK);
    }
}
