package gullspar.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.Profile;
import gullspar.decide.Balancer.State;
import gullspar.decide.Balancer.Status;
import org.junit.jupiter.api.Test;

/** Rules of some deployments only: order by key, and FULL answers whose request may have run. */
class OrderTest {
    private static FakeHost strict(Profile... profiles) {
        return new FakeHost(FakeHost.strict(profiles)).deliverList(ListKind.FULL, FakeHost.ready(6));
    }

    // ---- FULL may have run ----

    @Test
    void atMostOnceFailsAfterFullThatMayHaveRun() {
        FakeHost host = strict(FakeHost.AT_MOST_ONCE);
        int t = host.request();
        host.advance(5).endAttempt(t, 0, Status.FULL, 5, null);
        assertEquals(1, host.attemptCount(t));
        assertEquals("failed", host.finalAnswers.get(t));
    }

    @Test
    void deduplicatedStaysInItsZoneAfterFullThatMayHaveRun() {
        FakeHost host = new FakeHost(FakeHost.strict(FakeHost.DEDUPLICATED_IN_ZONE))
                .deliverList(
                        ListKind.FULL,
                        FakeHost.server(1, 0, State.READY),
                        FakeHost.server(2, 1, State.READY),
                        FakeHost.server(3, 1, State.READY));
        int t = host.request();
        assertEquals(1, host.serverOf(t, 0));
        host.advance(5).endAttempt(t, 0, Status.FULL, 5, null);
        assertEquals(1, host.attemptCount(t), "no other server of its zone");
        assertEquals("failed", host.finalAnswers.get(t));
    }

    @Test
    void atMostOnceRetriesAfterAFailedConnectThoughFullMayHaveRun() {
        FakeHost host = strict(FakeHost.AT_MOST_ONCE);
        int t = host.request();
        host.advance(5).endAttempt(t, 0, Status.CONNECT_FAILED, 5, null);
        assertEquals(2, host.attemptCount(t));
    }

    @Test
    void atMostOnceRetriesAfterFullThatNeverRan() {
        FakeHost host = new FakeHost(FakeHost.settings(false, FakeHost.AT_MOST_ONCE))
                .deliverList(ListKind.FULL, FakeHost.ready(6));
        int t = host.request();
        host.advance(5).endAttempt(t, 0, Status.FULL, 5, null);
        assertEquals(2, host.attemptCount(t));
    }

    // ---- order ----

    @Test
    void requestsOfOneKeyRunOneAtATimeAcrossSequentialClasses() {
        FakeHost host = strict(FakeHost.AT_MOST_ONCE_SEQUENTIAL, FakeHost.IDEMPOTENT_SEQUENTIAL, FakeHost.IDEMPOTENT);
        int first = host.request(0, 1000, 42);
        int second = host.request(1, 1000, 42);
        int third = host.request(0, 1000, 42);
        int free = host.request(2, 1000, 42);
        assertEquals(1, host.attemptCount(first));
        assertEquals(0, host.attemptCount(second) + host.attemptCount(third));
        assertEquals(1, host.attemptCount(free), "a class that is not sequential");
        host.advance(20).succeed(first, 20);
        assertEquals(1, host.attemptCount(second));
        assertEquals(0, host.attemptCount(third));
        host.advance(20).succeed(second, 20);
        assertEquals(1, host.attemptCount(third));
    }

    @Test
    void requestsOfOtherKeysOrNoKeyRunAtOnce() {
        FakeHost host = strict(FakeHost.AT_MOST_ONCE_SEQUENTIAL);
        int[] tickets = {host.request(0, 1000, 1), host.request(0, 1000, 2), host.request(), host.request()};
        for (int t : tickets) {
            assertEquals(1, host.attemptCount(t));
        }
    }

    @Test
    void keysImposeNoOrderWithoutSequentialClasses() {
        FakeHost host = strict(FakeHost.AT_MOST_ONCE);
        assertEquals(2, host.attemptCount(host.request(0, 1000, 42)) + host.attemptCount(host.request(0, 1000, 42)));
    }

    @Test
    void aKeyIsBlockedAfterAnAttemptThatMayStillRun() {
        for (Status status : new Status[] {Status.TIMEOUT, Status.RESET, Status.CANCELLED}) {
            FakeHost host = strict(FakeHost.AT_MOST_ONCE_SEQUENTIAL);
            int first = host.request(0, 900, 42);
            int second = host.request(0, 2000, 42);
            host.advance(10).endAttempt(first, 0, status, 10, null);
            assertEquals("failed", host.finalAnswers.get(first));
            int third = host.request(0, 2000, 42);
            host.advance(280);
            assertEquals(0, host.attemptCount(second) + host.attemptCount(third), status + ": the key is blocked");
        }
    }

    @Test
    void theNextOfTheKeyRunsAfterTheGap() {
        FakeHost host = strict(FakeHost.AT_MOST_ONCE_SEQUENTIAL);
        int first = host.request(0, 900, 42);
        host.advance(10).endAttempt(first, 0, Status.RESET, 10, null);
        host.advance(200);
        int second = host.request(0, 900, 42);
        assertEquals(0, host.attemptCount(second));
        host.advance(125);
        assertEquals(1, host.attemptCount(second));
    }

    @Test
    void theRunningRequestMayBeRetriedWithoutAGap() {
        FakeHost host = strict(FakeHost.IDEMPOTENT_SEQUENTIAL);
        int t = host.request(0, 900, 42);
        host.advance(10).endAttempt(t, 0, Status.RESET, 10, null);
        assertEquals(2, host.attemptCount(t));
    }

    @Test
    void anOpenAttemptBlocksTheKeyAfterItsClientDisconnected() {
        FakeHost host = strict(FakeHost.AT_MOST_ONCE_SEQUENTIAL);
        int first = host.request(0, 900, 42);
        int second = host.request(0, 2000, 42);
        host.policy.onClientDisconnected(host.now, first);
        host.finalAnswers.put(first, "left");
        host.advance(40);
        assertEquals(0, host.attemptCount(second));
        host.endAttempt(first, 0, Status.OK, 40, null);
        assertEquals(1, host.attemptCount(second));
    }

    @Test
    void aRequestThatTimesOutBehindItsKeyIsRefusedAndLeavesTheQueue() {
        FakeHost host = strict(FakeHost.AT_MOST_ONCE_SEQUENTIAL);
        int first = host.request(0, 2000, 42);
        int urgent = host.request(0, 90, 42);
        int third = host.request(0, 2000, 42);
        host.advance(90);
        assertEquals("refused", host.finalAnswers.get(urgent));
        host.succeed(first, 90);
        assertEquals(0, host.attemptCount(urgent));
        assertEquals(1, host.attemptCount(third));
    }

    @Test
    void idleKeysAreRemoved() throws ReflectiveOperationException {
        FakeHost host = strict(FakeHost.AT_MOST_ONCE_SEQUENTIAL);
        for (int key = 1; key <= 500; key++) {
            int t = host.request(0, 900, key);
            if (host.attemptCount(t) > 0) {
                host.advance(5).endAttempt(t, 0, key % 2 == 0 ? Status.OK : Status.RESET, 5, null);
            }
        }
        host.advance(400).request(0, 900, 1);
        var keyQueues = Policy.class.getDeclaredField("keyQueues");
        keyQueues.setAccessible(true);
        int size = ((java.util.Map<?, ?>) keyQueues.get(host.policy)).size();
        assertTrue(size <= 60, size + " keys kept");
    }
}
