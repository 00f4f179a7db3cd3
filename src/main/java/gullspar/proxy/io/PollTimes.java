package gullspar.proxy.io;

/**
 * Tells since when the data that a look at the sockets found may have been readable. A process may lose its
 * processor for a second (a busy neighbour, a long collection, SIGSTOP); what it reads next is then older
 * than the moment of reading. Reads no clock of its own: times in ns from one origin, any.
 */
final class PollTimes {
    /** After less work than that it does not matter whether data came during the work or behind it. */
    static final long SHORT_WORK_NS = 1_000_000L;
    /** A look that ends so much later than it was allowed to wait: the thread did not run meanwhile. */
    static final long OVERSLEEP_TOLERANCE_NS = 20_000_000L;

    private boolean isFirstPoll = true;
    private boolean hasOverslept;
    private long endedAtNs;
    private long seenUntilNs;
    private long readableSinceNs;

    /**
     * A look has ended. One that may wait has to follow one that may not and found nothing, wherever
     * {@link #unsure} says so: else data that came before it seem to have just come.
     *
     * @param began when it began
     * @param now when it ended
     * @param allowedNs for how long it was allowed to wait for data; 0 if it was not
     * @return how long the thread stood still during the look, 0 if it did not
     */
    long recordPoll(long startNs, long nowNs, long allowedWaitNs) {
        long elapsedNs = nowNs - startNs;
        hasOverslept = elapsedNs > allowedWaitNs + OVERSLEEP_TOLERANCE_NS;
        long previouslySeenNs = isFirstPoll ? startNs : seenUntilNs;
        // A wait that ends in time was ended by the data, or by a timer.
        readableSinceNs = allowedWaitNs == 0 ? previouslySeenNs : hasOverslept ? startNs : nowNs;
        // Where the thread stood still, the wait may have ended by its time and not have looked again.
        seenUntilNs = hasOverslept ? Math.min(startNs, readableSinceNs) : nowNs;
        endedAtNs = nowNs;
        isFirstPoll = false;
        return hasOverslept ? elapsedNs - allowedWaitNs : 0;
    }

    /** For how long the loop has worked since its last look, at that time. */
    long workedNs(long nowNs) {
        return isFirstPoll ? 0 : nowNs - endedAtNs;
    }

    /** May data have come, at that time, that did not end a wait? */
    boolean needsNonBlockingPoll(long nowNs) {
        return hasOverslept || workedNs(nowNs) >= SHORT_WORK_NS;
    }

    /** What is read outside of a look's findings came after that. */
    long seenUntilNs() {
        return seenUntilNs;
    }

    /** No data that the last look found was readable before. */
    long readableSinceNs() {
        return readableSinceNs;
    }
}
