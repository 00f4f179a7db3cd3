package gullspar.proxy.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * The body of a request, buffered completely so that a further attempt can be made. It grows in chunks, each
 * reserved from the budget before it is allocated: a client that declares a long body and sends little of it takes
 * little memory.
 */
public final class Body {
    /** Minimum size of the first chunk. */
    private static final int MIN_CHUNK_BYTES = 512;
    /** Size of all other chunks, and maximum size of the first. */
    private static final int CHUNK_BYTES = 16 << 10;

    private final BodyBudget budget;
    private final long maxBytes;
    private final List<byte[]> chunks = new ArrayList<>();
    private long reservedBytes;
    private long length;
    private int lastChunkLength;

    public Body(BodyBudget budget, long maxBytes) {
        this.budget = budget;
        this.maxBytes = maxBytes;
    }

    /** The result of adding bytes. */
    public enum AddResult {
        TAKEN,
        /** The body exceeds its maximum size, or the whole budget. */
        TOO_LONG,
        /** The budget has no room at present. */
        NO_ROOM
    }

    /**
     * Copies the readable bytes; the caller keeps ownership of the buffer. Unless the result is TAKEN, the bytes that
     * were not copied stay readable.
     */
    public AddResult add(ByteBuf bytes) {
        while (bytes.isReadable()) {
            if (length + bytes.readableBytes() > maxBytes) {
                return AddResult.TOO_LONG;
            }
            if (chunks.isEmpty() || lastChunkLength == lastChunk().length) {
                int size = chunks.isEmpty()
                        ? Math.max(MIN_CHUNK_BYTES, Math.min(CHUNK_BYTES, bytes.readableBytes()))
                        : CHUNK_BYTES;
                if (!budget.tryReserve(size)) {
                    return budget.canEverReserve(reservedBytes + size) ? AddResult.NO_ROOM : AddResult.TOO_LONG;
                }
                reservedBytes += size;
                chunks.add(new byte[size]);
                lastChunkLength = 0;
            }
            int n = Math.min(bytes.readableBytes(), lastChunk().length - lastChunkLength);
            bytes.readBytes(lastChunk(), lastChunkLength, n);
            lastChunkLength += n;
            length += n;
        }
        return AddResult.TAKEN;
    }

    private byte[] lastChunk() {
        return chunks.get(chunks.size() - 1);
    }

    /** In bytes. */
    public long length() {
        return length;
    }

    /** The whole body, to be written; may be called again for a further attempt. */
    public ByteBuf bytes() {
        if (chunks.isEmpty()) {
            return Unpooled.EMPTY_BUFFER;
        }
        ByteBuf[] all = new ByteBuf[chunks.size()];
        for (int i = 0; i < all.length; i++) {
            byte[] chunk = chunks.get(i);
            all[i] = Unpooled.wrappedBuffer(chunk, 0, i == all.length - 1 ? lastChunkLength : chunk.length);
        }
        return Unpooled.wrappedBuffer(all.length, all);
    }

    /** Returns the reserved bytes to the budget once the request no longer needs its body. */
    public void release() {
        budget.release(reservedBytes);
        reservedBytes = 0;
    }
}
