package gullspar.proxy.io;

/**
 * What an event loop has done since its start. A turn is one look at the sockets and the work that follows
 * it. Written and read on the loop.
 */
public final class LoopStatistics {
    /** Work or a wait that takes so much longer than it should counts as a standstill. */
    static final long STANDSTILL_NS = 100_000_000L;

    private long turns;
    private long emptyTurns;
    private long served;
    private long postponed;
    private long standstills;
    private long longestStandstillNs;

    /** A look has found so many ready channels. */
    void recordTurn(int ready) {
        turns++;
        emptyTurns += ready == 0 ? 1 : 0;
        served += ready;
    }

    /** So many ready clients were left for the next turn. */
    void postponed(int clients) {
        postponed += clients;
        served -= clients;
    }

    /** The loop neither looked nor waited for so long; true if that counts as a standstill. */
    boolean recordStandstill(long ns) {
        if (ns < STANDSTILL_NS) {
            return false;
        }
        standstills++;
        longestStandstillNs = Math.max(longestStandstillNs, ns);
        return true;
    }

    /** Looks at the sockets. */
    public long turns() {
        return turns;
    }

    /** Looks that found nothing: timers, tasks of other threads, or a loop that polls. */
    public long emptyTurns() {
        return emptyTurns;
    }

    /** Ready channels that were served. */
    public long served() {
        return served;
    }

    /** Ready clients that were left for a later turn, so that answers went out first. */
    public long postponed() {
        return postponed;
    }

    /** Times between two looks, or waits beyond their end, of 0.1 s and more. */
    public long standstills() {
        return standstills;
    }

    /** The longest of those, in ns. */
    public long longestStandstillNs() {
        return longestStandstillNs;
    }
}
