package gullspar.drill;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.Arrays;

/**
 * One frame of events: the time, records of a fixed size, and a tail for data of variable length that the records
 * reference by offset and length. References are bounds-checked.
 */
final class Batch {
    static final int HEADER_BYTES = 16;
    static final int RECORD_BYTES = 48;
    /** Arrays of more bytes may exceed the limit of the virtual machine. */
    private static final int MAX_BODY_BYTES = Integer.MAX_VALUE - 64;

    final long nowNs;
    final int count;
    private final ByteBuffer body;
    private final int tailStart;

    private Batch(long nowNs, int count, byte[] body) {
        this.nowNs = nowNs;
        this.count = count;
        this.body = ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN);
        this.tailStart = count * RECORD_BYTES;
    }

    /**
     * Reads the next frame; null if the input ends between frames. Throws a WireException if the frame is truncated or
     * malformed.
     */
    static Batch read(InputStream in) throws IOException {
        byte[] head = in.readNBytes(HEADER_BYTES);
        if (head.length == 0) {
            return null;
        }
        if (head.length < HEADER_BYTES) {
            throw new WireException("input truncated: it ends inside a frame header");
        }
        ByteBuffer header = ByteBuffer.wrap(head).order(ByteOrder.LITTLE_ENDIAN);
        long length = Integer.toUnsignedLong(header.getInt());
        long count = Integer.toUnsignedLong(header.getInt());
        if (count * RECORD_BYTES > length) {
            throw new WireException(count + " records exceed the frame length of " + length + " bytes");
        }
        if (length > MAX_BODY_BYTES) {
            throw new WireException("malformed frame: length of " + length + " bytes exceeds the limit of "
                    + MAX_BODY_BYTES + " bytes");
        }
        byte[] body = in.readNBytes((int) length);
        if (body.length < length) {
            throw new WireException("input truncated: it ends inside a frame body");
        }
        return new Batch(header.getLong(), (int) count, body);
    }

    int u8(int at) {
        return body.get(at) & 0xff;
    }

    int u16(int at) {
        return body.getShort(at) & 0xffff;
    }

    int i32(int at) {
        return body.getInt(at);
    }

    long i64(int at) {
        return body.getLong(at);
    }

    float f32(int at) {
        return body.getFloat(at);
    }

    /**
     * Resolves the reference (offset in the tail, number of entries) at this position to a position in the frame body.
     * Throws a WireException if it exceeds the tail.
     */
    int tailPosition(int at, int entryBytes) {
        long offset = Integer.toUnsignedLong(body.getInt(at));
        long bytes = Integer.toUnsignedLong(body.getInt(at + 4)) * entryBytes;
        if (offset + bytes > body.capacity() - tailStart) {
            throw new WireException("malformed frame: reference of " + bytes + " bytes at offset " + offset
                    + " exceeds the tail of " + (body.capacity() - tailStart) + " bytes");
        }
        return tailStart + (int) offset;
    }

    byte[] tailBytes(int at) {
        int from = tailPosition(at, 1);
        return Arrays.copyOfRange(body.array(), from, from + body.getInt(at + 4));
    }
}
