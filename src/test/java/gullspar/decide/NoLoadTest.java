package gullspar.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.Status;
import org.junit.jupiter.api.Test;

/** Events that say nothing of the load must not make the module send less; what has waited is refused at once. */
class NoLoadTest {
    private static final int SERVERS = 12;
    private static final int REQUESTS = 40;

    private static Rig rig() {
        Rig r = new Rig(Rig.settings(false, Rig.SAFE)).list(ListKind.FULL, Rig.ready(SERVERS));
        for (int i = 0; i < REQUESTS; i++) { // all is well at first
            r.done(r.request(), 0, Status.OK, 20, null);
            r.pass(10);
        }
        return r;
    }

    /** Asks again and again, and its client leaves so long after each request; how many of them were sent. */
    private static int sentThoughClientsLeave(Rig r, long afterMs) {
        int sent = 0;
        for (int i = 0; i < REQUESTS; i++) {
            int t = r.request();
            sent += r.sends.containsKey(t) ? 1 : 0;
            r.pass(afterMs);
            r.rules.onClientDisconnected(r.now, t);
            if (r.sends.containsKey(t)) {
                r.done(t, 0, Status.CANCELLED, afterMs, null);
            }
        }
        return sent;
    }

    @Test
    void clientsThatLeaveBeforeTheirAnswerWouldBeLateDoNotShutTheThrottle() {
        assertEquals(REQUESTS, sentThoughClientsLeave(rig(), 20));
    }

    /** The promise is 250 ms: who leaves behind that has waited too long, and that tells of load. */
    @Test
    void clientsThatLeaveBehindTheirPromiseDo() {
        assertTrue(sentThoughClientsLeave(rig(), 300) < REQUESTS);
    }

    /** One first try in four, on a fleet that has room. */
    @Test
    void aConnectionThatDoesNotComeUpIsTriedElsewhereAsOneThatBrokeIs() {
        Rig r = rig();
        int failed = 0;
        int again = 0;
        for (int i = 0; i < REQUESTS; i++) {
            int t = r.request();
            r.pass(10);
            if (i % 4 != 0) {
                r.done(t, 0, Status.OK, 10, null);
                continue;
            }
            failed++;
            r.done(t, 0, Status.CONNECT_FAILED, 10, null);
            if (r.sends.get(t).size() > 1) {
                again++;
                r.pass(10).done(t, 1, Status.OK, 10, null);
            }
        }
        assertEquals(failed, again);
    }

    @Test
    void whatLayUnreadForItsWholePromiseIsRefusedAndNotSent() {
        Rig r = rig();
        r.rules.onRequest(r.now, new Request(900, 0, 0, 0, 700 * Rig.MS, 0, false, 300 * Rig.MS));
        assertTrue(r.answers.containsKey(900), "it was kept");
        assertTrue(!r.sends.containsKey(900), "it was sent");
    }

    @Test
    void whatLayUnreadForAMomentIsSent() {
        Rig r = rig();
        r.rules.onRequest(r.now, new Request(901, 0, 0, 0, 980 * Rig.MS, 0, false, 20 * Rig.MS));
        assertTrue(r.sends.containsKey(901));
    }
}
