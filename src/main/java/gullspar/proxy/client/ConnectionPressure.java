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
    private int unused;
    private int used;
    private long youngestNs = Long.MAX_VALUE;

    /** One has been closed to make room. */
    void closed(Client c, long now) {
        if (c.used()) {
            used++;
        } else {
            unused++;
            youngestNs = Math.min(youngestNs, now - c.connectedAt);
        }
    }

    /** One line, if places ran out since the last, and all begins anew. */
    void say(Log log) {
        if (refused + unused + used > 0) {
            String youngest =
                    unused == 0 ? "" : ", the youngest after " + TimeUnit.NANOSECONDS.toMillis(youngestNs) + " ms";
            log.write("too few places for clients: of " + accepted + " accepted " + refused
                    + " closed at once; closed to make room: " + unused + " with nothing asked" + youngest
                    + ", " + used + " idle; requests taken: " + requests);
        }
        accepted = 0;
        refused = 0;
        requests = 0;
        unused = 0;
        used = 0;
        youngestNs = Long.MAX_VALUE;
    }
}
