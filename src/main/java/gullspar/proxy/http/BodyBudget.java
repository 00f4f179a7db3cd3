package gullspar.proxy.http;

/** The bytes that the bodies of all requests in hand may take together. Guards the heap against uploads. */
public final class BodyBudget {
    private long maxBytes;
    private long reservedBytes;

    /** In bytes. */
    public BodyBudget(long most) {
        this.maxBytes = most;
    }

    /** Another limit from now on; what is taken stays taken. */
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

    /** Could one body take so much, if it were alone? If not, trying again is of no use. */
    boolean canEverReserve(long bytes) {
        return bytes <= maxBytes;
    }

    void release(long bytes) {
        reservedBytes -= bytes;
    }

    /** Bytes in use. */
    public long reservedBytes() {
        return reservedBytes;
    }
}
