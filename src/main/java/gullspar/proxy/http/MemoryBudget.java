package gullspar.proxy.http;

/**
 * The limit on the heap that all buffered messages may take together, in bytes of the arrays that hold them: bodies
 * that are being received, waiting to be forwarded or waiting to be written. Used on one event loop.
 */
public final class MemoryBudget {
    private long maxBytes;
    private long reservedBytes;

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

    boolean tryReserve(long bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Reserves bytes that have been read already and cannot be rejected; the limit may be exceeded. */
    void reserve(long bytes) {
        reservedBytes += bytes;
    }

    /**
     * True if a single body could reserve this much with nothing else reserved. If not, retrying is of no
     * use.
     */
    boolean canEverReserve(long bytes) {
        return bytes <= maxBytes;
    }

    /** True if nothing more can be reserved, so that reading should pause where it can. */
    public boolean isExhausted() {
        return reservedBytes >= maxBytes;
    }

    void release(long bytes) {
        reservedBytes -= bytes;
    }

    public long reservedBytes() {
        return reservedBytes;
    }
}
