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
    static final int CHUNK_BYTES = 16 << 10;

    private final MemoryBudget budget;
    private final long maxBytes;
    private final List<ByteBuf> chunks = new ArrayList<>();
    private long reservedBytes;
    private long reservedHeadBytes;
    private long length;

    public Body(MemoryBudget budget, long maxBytes) {
        this.budget = budget;
        this.maxBytes = maxBytes;
    }

    /** Reserves room for the head of the request, which is held as long as its body; false if there is none. */
    public boolean tryReserveHead(long headBytes) {
        if (!budget.tryReserveHead(headBytes)) {
            return false;
        }
        reservedHeadBytes += headBytes;
        return true;
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
            if (chunks.isEmpty() || !lastChunk().isWritable()) {
                int size = chunks.isEmpty()
                        ? Math.max(MIN_CHUNK_BYTES, Math.min(CHUNK_BYTES, bytes.readableBytes()))
                        : CHUNK_BYTES;
                ByteBuf chunk = ReservedBuffer.tryAllocate(budget, MemoryBudget.Use.BODIES, size);
                if (chunk == null) {
                    return budget.canEverReserve(reservedBytes + size) ? AddResult.NO_ROOM : AddResult.TOO_LONG;
                }
                reservedBytes += size;
                chunks.add(chunk);
            }
            int count = Math.min(bytes.readableBytes(), lastChunk().writableBytes());
            lastChunk().writeBytes(bytes, count);
            length += count;
        }
        return AddResult.TAKEN;
    }

    private ByteBuf lastChunk() {
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
        return Unpooled.wrappedBuffer(
                chunks.size(), chunks.stream().map(ByteBuf::retainedDuplicate).toArray(ByteBuf[]::new));
    }

    /** Releases the body once the request no longer needs it; what is still being written stays reserved until then. */
    public void release() {
        chunks.forEach(ByteBuf::release);
        chunks.clear();
        reservedBytes = 0;
        budget.releaseHead(reservedHeadBytes);
        reservedHeadBytes = 0;
    }
}
