package gullspar.proxy.http;

/** The bytes that the bodies of all requests in hand may take together. Guards the heap against uploads. */
public final class BodyBudget {
    private long most;
    private long taken;

    /** In bytes. */
    public BodyBudget(long most) {
        this.most = most;
    }

    /** Another limit from now on; what is taken stays taken. */
    public void limit(long bytes) {
        most = bytes;
    }

    boolean take(long bytes) {
        if (taken + bytes > most) {
            return false;
        }
        taken += bytes;
        return true;
    }

    /** Could one body take so much, if it were alone? If not, trying again is of no use. */
    boolean everHolds(long bytes) {
        return bytes <= most;
    }

    void release(long bytes) {
        taken -= bytes;
    }

    /** Bytes in use. */
    public long taken() {
        return taken;
    }
}
