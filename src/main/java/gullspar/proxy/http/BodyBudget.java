package gullspar.proxy.http;

/**
 * The limit on the bytes that all buffered request bodies may take together. Guards the heap against uploads.
 */
public final class BodyBudget {
    private long maxBytes;
    private long reservedBytes;

    public BodyBudget(long maxBytes) {
        this.maxBytes = maxBytes;
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

    /**
     * True if a single body could reserve this much with nothing else reserved. If not, retrying is of no
     * use.
     */
    boolean canEverReserve(long bytes) {
        return bytes <= maxBytes;
    }

    void release(long bytes) {
        reservedBytes -= bytes;
    }

    public long reservedBytes() {
        return reservedBytes;
    }
}
