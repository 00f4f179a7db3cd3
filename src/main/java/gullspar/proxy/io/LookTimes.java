package gullspar.proxy.io;

/**
 * Tells since when the data that a look at the sockets found may have been readable. A process may lose its
 * processor for a second (a busy neighbour, a long collection, SIGSTOP); what it reads next is then older
 * than the moment of reading. Reads no clock of its own: times in ns from one origin, any.
 */
final class LookTimes {
    /** After less work than that it does not matter whether data came during the work or behind it. */
    static final long SHORT_NS = 1_000_000L;
    /** A look that ends so much later than it was allowed to wait: the thread did not run meanwhile. */
    static final long OVERSLEPT_NS = 20_000_000L;

    private boolean first = true;
    private boolean overslept;
    private long ended;
    private long seenUntil;
    private long readableSince;

    /**
     * A look has ended. One that may wait has to follow one that may not and found nothing, wherever
     * {@link #unsure} says so: else data that came before it seem to have just come.
     *
     * @param began when it began
     * @param now when it ended
     * @param allowedNs for how long it was allowed to wait for data; 0 if it was not
     * @return how long the thread stood still during the look, 0 if it did not
     */
    long looked(long began, long now, long allowedNs) {
        long waited = now - began;
        overslept = waited > allowedNs + OVERSLEPT_NS;
        long before = first ? began : seenUntil;
        // A wait that ends in time was ended by the data, or by a timer.
        readableSince = allowedNs == 0 ? before : overslept ? began : now;
        // Where the thread stood still, the wait may have ended by its time and not have looked again.
        seenUntil = overslept ? Math.min(began, readableSince) : now;
        ended = now;
        first = false;
        return overslept ? waited - allowedNs : 0;
    }

    /** For how long the loop has worked since its last look, at that time. */
    long worked(long now) {
        return first ? 0 : now - ended;
    }

    /** May data have come, at that time, that did not end a wait? */
    boolean unsure(long now) {
        return overslept || worked(now) >= SHORT_NS;
    }

    /** What is read outside of a look's findings came after that. */
    long seenUntil() {
        return seenUntil;
    }

    /** No data that the last look found was readable before. */
    long readableSince() {
        return readableSince;
    }
}
