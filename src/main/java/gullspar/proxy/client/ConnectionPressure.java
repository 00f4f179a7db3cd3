package gullspar.proxy.client;

import gullspar.proxy.io.Log;
import java.util.concurrent.TimeUnit;

/**
 * Counts what becomes of clients' connections where there are more than places for them: without it, clients
 * that are turned away before their first byte is read leave no trace.
 */
final class ConnectionPressure {
    int accepted;
    /** Closed as they came: all places were busy. */
    int refused;

    int requests;
    private int evictedUnused;
    private int evictedIdle;
    private long youngestEvictedNs = Long.MAX_VALUE;

    /** One has been closed to make room. */
    void countEvicted(Client c, long now) {
        if (c.used()) {
            evictedIdle++;
        } else {
            evictedUnused++;
            youngestEvictedNs = Math.min(youngestEvictedNs, now - c.connectedAtNs);
        }
    }

    /** One line, if places ran out since the last, and all begins anew. */
    void logAndReset(Log log) {
        if (refused + evictedUnused + evictedIdle > 0) {
            String youngest = evictedUnused == 0
                    ? ""
                    : ", the youngest after " + TimeUnit.NANOSECONDS.toMillis(youngestEvictedNs) + " ms";
            log.say("too few places for clients: of " + accepted + " accepted " + refused
                    + " closed at once; closed to make room: " + evictedUnused + " with nothing asked" + youngest
                    + ", " + evictedIdle + " idle; requests taken: " + requests);
        }
        accepted = 0;
        refused = 0;
        requests = 0;
        evictedUnused = 0;
        evictedIdle = 0;
        youngestEvictedNs = Long.MAX_VALUE;
    }
}
