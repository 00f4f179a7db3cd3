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
    private long lastLook;
    private long readableSince;

    /**
     * A look has ended. One that may wait has to follow one that may not and found nothing, where the work
     * before it took {@link #SHORT_NS} or more: else data that came during that work seem to have just come.
     *
     * @param began when it began
     * @param ended when it ended
     * @param allowedNs for how long it was allowed to wait for data; 0 if it was not
     * @return how long the thread stood still during the look, 0 if it did not
     */
    long looked(long began, long ended, long allowedNs) {
        long waited = ended - began;
        boolean overslept = waited > allowedNs + OVERSLEPT_NS;
        if (overslept) {
            readableSince = began;
        } else if (allowedNs == 0) {
            readableSince = first ? began : lastLook;
        } else {
            readableSince = ended; // it slept until the data woke it
        }
        first = false;
        lastLook = ended;
        return overslept ? waited - allowedNs : 0;
    }

    /** When the last look ended. */
    long lastLook() {
        return lastLook;
    }

    /** No data that the last look found was readable before. */
    long readableSince() {
        return readableSince;
    }
}
