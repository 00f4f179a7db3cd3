package gullspar.proxy.io;

/**
 * Time in ns that only goes forward, from any origin long ago. Whoever plays a proxy in another time gives it
 * another clock.
 */
public interface Clock {
    long now();

    /** The system's time as read now, and monotonic from there. */
    static Clock system() {
        long origin = System.currentTimeMillis() * 1_000_000L - System.nanoTime();
        return () -> origin + System.nanoTime();
    }
}
