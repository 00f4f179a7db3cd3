package gullspar.proxy.io;

/**
 * Computes since when the data found by a poll of the sockets may have been readable. A process may be off its
 * processor for a second (a busy neighbour, a long garbage collection, SIGSTOP); what it reads next is then older
 * than the time of reading. Reads no clock: all times are in ns from one arbitrary origin.
 */
final class PollTimes {
    /** After less work than this, it does not matter whether data arrived during the work or after it. */
    static final long SHORT_WORK_NS = 1_000_000L;
    /** If a poll ends later than its allowed wait by more than this, the thread was not running. */
    static final long OVERSLEEP_TOLERANCE_NS = 20_000_000L;

    private boolean isFirstPoll = true;
    private boolean hasOverslept;
    private long endedAtNs;
    private long seenUntilNs;
    private long readableSinceNs;

    /**
     * Records a finished poll. While {@link #needsNonBlockingPoll} is true, a poll that may wait is allowed only
     * after one that may not wait and found nothing: otherwise data that arrived earlier would seem to have just
     * arrived.
     *
     * @param startNs when the poll started
     * @param nowNs when it ended
     * @param allowedWaitNs how long it was allowed to wait for data; 0 if it was not
     * @return how long the thread was not running during the poll, in ns; 0 if it ran normally
     */
    long recordPoll(long startNs, long nowNs, long allowedWaitNs) {
        long elapsedNs = nowNs - startNs;
        hasOverslept = elapsedNs > allowedWaitNs + OVERSLEEP_TOLERANCE_NS;
        long previouslySeenNs = isFirstPoll ? startNs : seenUntilNs;
        // A wait that did not overrun was ended by the data or by a timer.
        readableSinceNs = allowedWaitNs == 0 ? previouslySeenNs : hasOverslept ? startNs : nowNs;
        // After a standstill the wait may have ended by its time-out, without checking the sockets again.
        seenUntilNs = hasOverslept ? Math.min(startNs, readableSinceNs) : nowNs;
        endedAtNs = nowNs;
        isFirstPoll = false;
        return hasOverslept ? elapsedNs - allowedWaitNs : 0;
    }

    /** How long the loop has worked since its last poll. */
    long workedNs(long nowNs) {
        return isFirstPoll ? 0 : nowNs - endedAtNs;
    }

    /** Whether data may have arrived without ending a wait, so that the next poll must not wait. */
    boolean needsNonBlockingPoll(long nowNs) {
        return hasOverslept || workedNs(nowNs) >= SHORT_WORK_NS;
    }

    /** Data that is read although no poll has found it arrived after this time. */
    long seenUntilNs() {
        return seenUntilNs;
    }

    /** None of the data found by the last poll was readable before this time. */
    long readableSinceNs() {
        return readableSinceNs;
    }
}
