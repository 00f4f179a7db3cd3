package gullspar.proxy.io;

/** Monotonic time in ns since an arbitrary origin; a rehearsal supplies virtual time. */
public interface Clock {
    long now();

    /** Starts at the current Unix time and is monotonic from there. */
    static Clock system() {
        long origin = System.currentTimeMillis() * 1_000_000L - System.nanoTime();
        return () -> origin + System.nanoTime();
    }
}
