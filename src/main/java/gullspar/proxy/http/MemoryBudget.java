package gullspar.proxy.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The limit on the heap that all buffered messages may take together, in bytes of the arrays that hold them: bodies
 * that are being received, waiting to be forwarded or waiting to be written. Used on one event loop.
 */
public final class MemoryBudget {
    /** What bytes are reserved for. */
    public enum Use {
        HEADS,
        /** Bodies of requests that are kept, so that they can be sent again. */
        BODIES,
        /** Parts of bodies that are being forwarded, either way. */
        STREAMS,
        /** Responses that are received and not forwarded yet. */
        RESPONSES,
        /** Responses that wait for their clients to read. */
        WRITES
    }

    private static final int HEAD_DIVISOR = 4;
    private static final Use[] USES = Use.values();

    private long maxBytes;
    private long reservedBytes;
    private final long[] bytesByUse = new long[USES.length];

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
        if (bytesFor(Use.HEADS) + bytes > maxBytes / HEAD_DIVISOR) {
            return false;
        }
        bytesByUse[Use.HEADS.ordinal()] += bytes;
        return true;
    }

    void releaseHead(long bytes) {
        bytesByUse[Use.HEADS.ordinal()] -= bytes;
    }

    /** Whether there is room for this many bytes of anything but heads. */
    boolean hasRoom(long bytes) {
        return reservedBytes + bytes <= maxBytes;
    }

    /** Reserves bytes that have been read already and cannot be rejected; the limit may be exceeded. */
    public void reserve(Use use, long bytes) {
        reservedBytes += bytes;
        bytesByUse[use.ordinal()] += bytes;
    }

    /** Bytes that are reserved for one use. */
    public long bytesFor(Use use) {
        return bytesByUse[use.ordinal()];
    }

    /** The limit, in bytes. */
    public long limit() {
        return maxBytes;
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

    void release(Use use, long bytes) {
        reserve(use, -bytes);
    }

    public long reservedBytes() {
        return reservedBytes + bytesFor(Use.HEADS);
    }
}
