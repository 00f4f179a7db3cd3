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
        FakeHost host = new FakeHost(FakeHost.settings(false, FakeHost.IDEMPOTENT))
                .deliverList(ListKind.FULL, FakeHost.ready(SERVERS));
        for (int i = 0; i < REQUESTS; i++) { // a healthy phase first
            host.endAttempt(host.request(), 0, Status.OK, 20, null);
            host.advance(10);
        }
        return host;
    }

    /** Sends requests whose clients disconnect after this time; returns how many were sent to a server. */
    private static int sentWhileClientsDisconnect(FakeHost host, long afterMs) {
        int sent = 0;
        for (int i = 0; i < REQUESTS; i++) {
            int t = host.request();
            sent += host.sends.containsKey(t) ? 1 : 0;
            host.advance(afterMs);
            host.policy.onClientDisconnected(host.now, t);
            if (host.sends.containsKey(t)) {
                host.endAttempt(t, 0, Status.CANCELLED, afterMs, null);
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
        FakeHost host = healthyHost();
        int failed = 0;
        int retried = 0;
        for (int i = 0; i < REQUESTS; i++) {
            int t = host.request();
            host.advance(10);
            if (i % 4 != 0) {
                host.endAttempt(t, 0, Status.OK, 10, null);
                continue;
            }
            failed++;
            host.endAttempt(t, 0, Status.CONNECT_FAILED, 10, null);
            if (host.sends.get(t).size() > 1) {
                retried++;
                host.advance(10).endAttempt(t, 1, Status.OK, 10, null);
            }
        }
        assertEquals(failed, retried);
    }

    @Test
    void aRequestUnreadPastTheLatencyTargetIsRefused() {
        FakeHost host = healthyHost();
        host.policy.onRequest(host.now, new Request(900, 0, 0, 0, 700 * FakeHost.MS, 0, false, 300 * FakeHost.MS));
        assertTrue(host.finalAnswers.containsKey(900), "request 900 got no answer");
        assertTrue(!host.sends.containsKey(900), "request 900 was sent");
    }

    @Test
    void aRequestUnreadForAMomentIsSent() {
        FakeHost host = healthyHost();
        host.policy.onRequest(host.now, new Request(901, 0, 0, 0, 980 * FakeHost.MS, 0, false, 20 * FakeHost.MS));
        assertTrue(host.sends.containsKey(901));
    }
}
