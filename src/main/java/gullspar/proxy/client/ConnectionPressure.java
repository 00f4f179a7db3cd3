package gullspar.proxy.client;

import gullspar.proxy.io.Log;
import java.util.concurrent.TimeUnit;

/**
 * Counts client connections refused or closed because the connection limit was reached. Without these counts,
 * clients whose connection is closed before their first byte is read leave no trace in the log.
 */
final class ConnectionPressure {
    /** All connections accepted by the listener, with those closed on accept. */
    int accepted;
    /** Closed on accept: all other connections were busy. */
    int refused;

    /** Valid requests. */
    int requests;

    private int evictedUnused;
    private int evictedIdle;
    private long youngestEvictedNs = Long.MAX_VALUE;

    /** Counts a connection closed to make room. */
    void countEvicted(Client c, long now) {
        if (c.used()) {
            evictedIdle++;
        } else {
            evictedUnused++;
            youngestEvictedNs = Math.min(youngestEvictedNs, now - c.connectedAtNs);
        }
    }

    /** Logs one line if the limit was reached since the last call, and resets the counts. */
    void logAndReset(Log log) {
        if (refused + evictedUnused + evictedIdle > 0) {
            String youngest = evictedUnused == 0
                    ? ""
                    : ", the youngest after " + TimeUnit.NANOSECONDS.toMillis(youngestEvictedNs) + " ms";
            log.write("client connection limit reached: of " + accepted + " accepted, " + refused
                    + " closed at once; closed to make room: " + evictedUnused + " without a request" + youngest
                    + ", " + evictedIdle + " idle; requests accepted: " + requests);
        }
        accepted = 0;
        refused = 0;
        requests = 0;
        evictedUnused = 0;
        evictedIdle = 0;
        youngestEvictedNs = Long.MAX_VALUE;
    }
}
