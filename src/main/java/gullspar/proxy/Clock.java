package gullspar.proxy;

/** Unix time in ns as read at the start, and monotonic from there: backends' start times compare with it. */
final class Clock {
    private final long origin = System.currentTimeMillis() * 1_000_000L - System.nanoTime();

    long now() {
        return origin + System.nanoTime();
    }
}
