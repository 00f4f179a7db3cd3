package gullspar.proxy.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The limit on the heap that all buffered messages may take together, in bytes of the arrays that hold them: bodies
 * that are being received, waiting to be forwarded or waiting to be written. Used on one event loop.
 */
public final class MemoryBudget {
    private static final int HEAD_DIVISOR = 4;

    private long maxBytes;
    private long reservedBytes;
    private long reservedHeadBytes;

    public MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** A budget without a limit. */
    public static MemoryBudget unlimited() {
        return new MemoryBudget(Long.MAX_VALUE);
    }

    /** Changes the limit; existing reservations stay. */
    public void setLimit(long bytes) {
        maxBytes = bytes;
    }

    /**
     * Reserves room for the head of a request. Heads have a limit of their own, a quarter of that of bodies, so that
     * bodies that fill the budget do not keep out requests without one.
     */
    boolean tryReserveHead(long bytes) {
        if (reservedHeadBytes + bytes > maxBytes / HEAD_DIVISOR) {
            return false;
        }
        reservedHeadBytes += bytes;
        return true;
    }

    void releaseHead(long bytes) {
        reservedHeadBytes -= bytes;
    }

    boolean tryReserve(long bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Reserves bytes that have been read already and cannot be rejected; the limit may be exceeded. */
    public void reserve(long bytes) {
        reservedBytes += bytes;
    }

    /** Wraps bytes that are to be written; they stay reserved until then, even if the limit is exceeded. */
    public ByteBuf wrap(byte[] bytes) {
        return bytes.length == 0 ? Unpooled.EMPTY_BUFFER : ReservedBuffer.wrap(this, bytes);
    }

    /**
     * True if a single body could reserve this much with nothing else reserved. If not, retrying is of no
     * use.
     */
    boolean canEverReserve(long bytes) {
        return bytes <= maxBytes;
    }

    /** True if there is no room for another chunk, so that reading should pause where it can. */
    public boolean isExhausted() {
        return maxBytes - reservedBytes < Body.CHUNK_BYTES;
    }

    public void release(long bytes) {
        reservedBytes -= bytes;
    }

    public long reservedBytes() {
        return reservedBytes + reservedHeadBytes;
    }
}
