package gullspar.journal;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The bytes of a segment (docs/journal-format.md): a head that says its version, its number and how many
 * records come before it in the journal; then records, each with a head of its own that has a sum of its own,
 * so that the next one can be found behind a damaged one.
 */
public final class Segment {
    /** What this program writes, and the newest that it reads. */
    public static final int VERSION = 1;
    /** Bytes of a segment's head, and of a record's. */
    public static final int HEADER_BYTES = 40, RECORD_HEADER_BYTES = 16;
    /** A longer payload is none. */
    static final int MAX_PAYLOAD_BYTES = 64 << 10;

    private static final long MAGIC = 0x47554c4c4a524e4cL; // GULLJRNL
    private static final short RECORD_MARK = (short) 0xa75e;

    /** The head of a segment. before: records in the segments ahead of it. */
    public record Header(int version, long number, long recordsBefore, long createdMs) {}

    private Segment() {}

    private static int checksum(byte[] bytes, int from, int to) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, to - from);
        return (int) crc.getValue();
    }

    /** A segment that a newer program has written. */
    public static final class UnsupportedVersionException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        UnsupportedVersionException(String what) {
            super(what);
        }
    }

    /** The bytes of a head. */
    public static byte[] header(long number, long recordsBefore, long createdMs) {
        return header(VERSION, number, recordsBefore, createdMs);
    }

    /** The bytes of a head of some version. */
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
     * Reads a head; an IllegalArgumentException for what is none or is damaged, a NewerVersionException for
     * one
     * that this program does not read. All versions have the same head, so its sum is looked at first.
     */
    public static Header header(byte[] bytes) {
        ByteBuffer b = ByteBuffer.wrap(bytes);
        if (bytes.length < HEADER_BYTES || b.getLong() != MAGIC) {
            throw new IllegalArgumentException("this is no segment of a journal");
        }
        if (b.getInt(HEADER_BYTES - 4) != checksum(bytes, 0, HEADER_BYTES - 4)) {
            throw new IllegalArgumentException("the head of this segment is damaged");
        }
        int version = b.getShort() & 0xffff;
        if (version > VERSION) {
            throw new UnsupportedVersionException(
                    "this segment is of version " + version + ", and this program reads up to " + VERSION);
        }
        b.getShort();
        return new Header(version, b.getLong(), b.getLong(), b.getLong());
    }

    /** The bytes of a record. */
    public static byte[] encodeRecord(Entry e) {
        byte[] payload = EntryCodec.encode(e);
        ByteBuffer b = ByteBuffer.allocate(RECORD_HEADER_BYTES + payload.length);
        b.putShort(RECORD_MARK).put(EntryCodec.type(e)).put((byte) 0).putInt(payload.length);
        b.putInt(checksum(b.array(), 0, 8)).putInt(checksum(payload, 0, payload.length));
        return b.put(payload).array();
    }

    /** The length of the payload that a record's head says; -1 if this is no such head. */
    static int payloadLength(byte[] bytes, int at) {
        ByteBuffer b = ByteBuffer.wrap(bytes, at, RECORD_HEADER_BYTES);
        boolean mark = b.getShort() == RECORD_MARK;
        b.getShort();
        int length = b.getInt();
        return mark && b.getInt() == checksum(bytes, at, at + 8) && length >= 0 && length <= MAX_PAYLOAD_BYTES
                ? length
                : -1;
    }

    /** Is that the payload of that head? */
    static boolean payloadMatches(byte[] bytes, int at, int length) {
        return ByteBuffer.wrap(bytes).getInt(at + 12)
                == checksum(bytes, at + RECORD_HEADER_BYTES, at + RECORD_HEADER_BYTES + length);
    }

    /** The type in a record's head. */
    static byte recordType(byte[] bytes, int at) {
        return bytes[at + 2];
    }

    /** Could these last bytes be the beginning of a record whose rest was never written? */
    static boolean isRecordPrefix(byte[] bytes, int at, int end) {
        if (end - at >= RECORD_HEADER_BYTES) {
            int length = payloadLength(bytes, at);
            return length >= 0 && end - at < RECORD_HEADER_BYTES + length;
        }
        return end - at < 1
                || bytes[at] == (byte) (RECORD_MARK >> 8) && (end - at < 2 || bytes[at + 1] == (byte) RECORD_MARK);
    }
}
