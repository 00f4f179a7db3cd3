package gullspar.rehearse.stage;

/** One service for all callers: it works through their calls in turn. */
final class ServiceQueue {
    private final long serviceTimeNs;
    private long freeAt;

    /** Each call takes so long; 0 for one that answers at once. */
    ServiceQueue(double eachMs) {
        serviceTimeNs = (long) (eachMs * 1e6);
    }

    /** A call that comes now is answered after so long, in ns. */
    long enqueue(long now) {
        freeAt = Math.max(freeAt, now) + serviceTimeNs;
        return freeAt - now;
    }
}
