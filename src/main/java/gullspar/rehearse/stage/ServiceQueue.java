package gullspar.rehearse.stage;

/** A service shared by all callers, which serves their calls one after another. */
final class ServiceQueue {
    private final long serviceTimeNs;
    private long freeAt;

    /** Creates a queue with that service time for each call; 0 for none. */
    ServiceQueue(double serviceTimeMs) {
        serviceTimeNs = (long) (serviceTimeMs * 1e6);
    }

    /** Adds a call that arrives now; returns the ns until its response. */
    long enqueue(long now) {
        freeAt = Math.max(freeAt, now) + serviceTimeNs;
        return freeAt - now;
    }
}
