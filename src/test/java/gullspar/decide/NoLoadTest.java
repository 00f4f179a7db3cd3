package gullspar.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.Request;
import gullspar.decide.Balancer.Status;
import org.junit.jupiter.api.Test;

/** Events that are no evidence of load must not reduce sends; requests that waited too long are refused at once. */
class NoLoadTest {
    private static final int SERVERS = 12;
    private static final int REQUESTS = 40;

    private static FakeHost healthyHost() {
        FakeHost r = new FakeHost(FakeHost.settings(false, FakeHost.IDEMPOTENT))
                .deliverList(ListKind.FULL, FakeHost.ready(SERVERS));
        for (int i = 0; i < REQUESTS; i++) { // a healthy phase first
            r.endAttempt(r.request(), 0, Status.OK, 20, null);
            r.advance(10);
        }
        return r;
    }

    /** Sends requests whose clients disconnect after this time; returns how many were sent to a server. */
    private static int sentWhileClientsDisconnect(FakeHost r, long afterMs) {
        int sent = 0;
        for (int i = 0; i < REQUESTS; i++) {
            int t = r.request();
            sent += r.sends.containsKey(t) ? 1 : 0;
            r.advance(afterMs);
            r.policy.onClientDisconnected(r.now, t);
            if (r.sends.containsKey(t)) {
                r.endAttempt(t, 0, Status.CANCELLED, afterMs, null);
            }
        }
        return sent;
    }

    @Test
    void disconnectsBeforeTheLatencyTargetDoNotThrottle() {
        assertEquals(REQUESTS, sentWhileClientsDisconnect(healthyHost(), 20));
    }

    /** The latency target is 250 ms: a client that disconnects after that has waited too long, a sign of load. */
    @Test
    void disconnectsAfterTheLatencyTargetThrottle() {
        assertTrue(sentWhileClientsDisconnect(healthyHost(), 300) < REQUESTS);
    }

    /** One first attempt in four fails to connect, on a fleet with room. */
    @Test
    void aFailedConnectIsRetriedOnAnotherServer() {
        FakeHost r = healthyHost();
        int failed = 0;
        int retried = 0;
        for (int i = 0; i < REQUESTS; i++) {
            int t = r.request();
            r.advance(10);
            if (i % 4 != 0) {
                r.endAttempt(t, 0, Status.OK, 10, null);
                continue;
            }
            failed++;
            r.endAttempt(t, 0, Status.CONNECT_FAILED, 10, null);
            if (r.sends.get(t).size() > 1) {
                retried++;
                r.advance(10).endAttempt(t, 1, Status.OK, 10, null);
            }
        }
        assertEquals(failed, retried);
    }

    @Test
    void aRequestUnreadPastTheLatencyTargetIsRefused() {
        FakeHost r = healthyHost();
        r.policy.onRequest(r.now, new Request(900, 0, 0, 0, 700 * FakeHost.MS, 0, false, 300 * FakeHost.MS));
        assertTrue(r.finalAnswers.containsKey(900), "request 900 got no answer");
        assertTrue(!r.sends.containsKey(900), "request 900 was sent");
    }

    @Test
    void aRequestUnreadForAMomentIsSent() {
        FakeHost r = healthyHost();
        r.policy.onRequest(r.now, new Request(901, 0, 0, 0, 980 * FakeHost.MS, 0, false, 20 * FakeHost.MS));
        assertTrue(r.sends.containsKey(901));
    }
}
