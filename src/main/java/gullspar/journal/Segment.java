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
    public static final int HEAD = 40, RECORD_HEAD = 16;
    /** A longer payload is none. */
    static final int LONGEST = 64 << 10;

    private static final long MAGIC = 0x47554c4c4a524e4cL; // GULLJRNL
    private static final short MARK = (short) 0xa75e;

    /** The head of a segment. before: records in the segments ahead of it. */
    public record Head(int version, long number, long before, long createdMs) {}

    private Segment() {}

    private static int sum(byte[] bytes, int from, int to) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, to - from);
        return (int) crc.getValue();
    }

    /** A segment that a newer program has written. */
    public static final class NewerVersionException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        NewerVersionException(String what) {
            super(what);
        }
    }

    /** The bytes of a head. */
    public static byte[] head(long number, long before, long createdMs) {
        return head(VERSION, number, before, createdMs);
    }

    /** The bytes of a head of some version. */
    static byte[] head(int version, long number, long before, long createdMs) {
        ByteBuffer b = ByteBuffer.allocate(HEAD);
        b.putLong(MAGIC)
                .putShort((short) version)
                .putShort((short) 0)
                .putLong(number)
                .putLong(before)
                .putLong(createdMs);
        return b.putInt(sum(b.array(), 0, HEAD - 4)).array();
    }

    /**
     * Reads a head; an IllegalArgumentException for what is none or is damaged, a NewerVersionException for
     * one
     * that this program does not read. All versions have the same head, so its sum is looked at first.
     */
    public static Head head(byte[] bytes) {
        ByteBuffer b = ByteBuffer.wrap(bytes);
        if (bytes.length < HEAD || b.getLong() != MAGIC) {
            throw new IllegalArgumentException("this is no segment of a journal");
        }
        if (b.getInt(HEAD - 4) != sum(bytes, 0, HEAD - 4)) {
            throw new IllegalArgumentException("the head of this segment is damaged");
        }
        int version = b.getShort() & 0xffff;
        if (version > VERSION) {
            throw new NewerVersionException(
                    "this segment is of version " + version + ", and this program reads up to " + VERSION);
        }
        b.getShort();
        return new Head(version, b.getLong(), b.getLong(), b.getLong());
    }

    /** The bytes of a record. */
    public static byte[] record(Entry e) {
        byte[] payload = EntryCodec.encode(e);
        ByteBuffer b = ByteBuffer.allocate(RECORD_HEAD + payload.length);
        b.putShort(MARK).put(EntryCodec.type(e)).put((byte) 0).putInt(payload.length);
        b.putInt(sum(b.array(), 0, 8)).putInt(sum(payload, 0, payload.length));
        return b.put(payload).array();
    }

    /** The length of the payload that a record's head says; -1 if this is no such head. */
    static int length(byte[] bytes, int at) {
        ByteBuffer b = ByteBuffer.wrap(bytes, at, RECORD_HEAD);
        boolean mark = b.getShort() == MARK;
        b.getShort();
        int length = b.getInt();
        return mark && b.getInt() == sum(bytes, at, at + 8) && length >= 0 && length <= LONGEST ? length : -1;
    }

    /** Is that the payload of that head? */
    static boolean holds(byte[] bytes, int at, int length) {
        return ByteBuffer.wrap(bytes).getInt(at + 12) == sum(bytes, at + RECORD_HEAD, at + RECORD_HEAD + length);
    }

    /** The type in a record's head. */
    static byte type(byte[] bytes, int at) {
        return bytes[at + 2];
    }

    /** Could these last bytes be the beginning of a record whose rest was never written? */
    static boolean begins(byte[] bytes, int at, int end) {
        if (end - at >= RECORD_HEAD) {
            int length = length(bytes, at);
            return length >= 0 && end - at < RECORD_HEAD + length;
        }
        return end - at < 1 || bytes[at] == (byte) (MARK >> 8) && (end - at < 2 || bytes[at + 1] == (byte) MARK);
    }
}
