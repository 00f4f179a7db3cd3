package gullspar.proxy.io;

/**
 * Statistics of an event loop since its start. A turn is one poll of the sockets and the work that follows it.
 * Written and read on the loop only.
 */
public final class LoopStatistics {
    /** Work or an overrun wait of at least this duration counts as a standstill. */
    static final long STANDSTILL_NS = 100_000_000L;

    private long turns;
    private long emptyTurns;
    private long served;
    private long postponed;
    private long standstills;
    private long longestStandstillNs;

    /** Records a poll that found the given number of ready channels. */
    void recordTurn(int readyChannels) {
        turns++;
        emptyTurns += readyChannels == 0 ? 1 : 0;
        served += readyChannels;
    }

    /** Records ready clients that were left for the next turn. */
    void recordPostponed(int clients) {
        postponed += clients;
        served -= clients;
    }

    /** Records how long the loop neither polled nor waited; returns true if this counts as a standstill. */
    boolean recordStandstill(long durationNs) {
        if (durationNs < STANDSTILL_NS) {
            return false;
        }
        standstills++;
        longestStandstillNs = Math.max(longestStandstillNs, durationNs);
        return true;
    }

    /** Number of polls. */
    public long turns() {
        return turns;
    }

    /** Polls that found nothing: woken by timers or tasks of other threads, or busy polling. */
    public long emptyTurns() {
        return emptyTurns;
    }

    /** Number of ready channels that were served. */
    public long served() {
        return served;
    }

    /** Ready clients that were left for a later turn, so that responses were sent first. */
    public long postponed() {
        return postponed;
    }

    /** Number of periods of work between two polls, or of overrun waits, of 0.1 s or more. */
    public long standstills() {
        return standstills;
    }

    /** The longest standstill, in ns. */
    public long longestStandstillNs() {
        return longestStandstillNs;
    }
}
