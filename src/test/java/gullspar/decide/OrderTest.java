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
        FakeHost r = strict(FakeHost.AT_MOST_ONCE);
        int t = r.request();
        r.advance(5).endAttempt(t, 0, Status.FULL, 5, null);
        assertEquals(1, r.attemptCount(t));
        assertEquals("failed", r.finalAnswers.get(t));
    }

    @Test
    void deduplicatedStaysInItsZoneAfterFullThatMayHaveRun() {
        FakeHost r = new FakeHost(FakeHost.strict(FakeHost.DEDUPLICATED_IN_ZONE))
                .deliverList(
                        ListKind.FULL,
                        FakeHost.member(1, 0, State.READY),
                        FakeHost.member(2, 1, State.READY),
                        FakeHost.member(3, 1, State.READY));
        int t = r.request();
        assertEquals(1, r.serverOf(t, 0));
        r.advance(5).endAttempt(t, 0, Status.FULL, 5, null);
        assertEquals(1, r.attemptCount(t), "no other server of its zone");
        assertEquals("failed", r.finalAnswers.get(t));
    }

    @Test
    void atMostOnceRetriesAfterAFailedConnectThoughFullMayHaveRun() {
        FakeHost r = strict(FakeHost.AT_MOST_ONCE);
        int t = r.request();
        r.advance(5).endAttempt(t, 0, Status.CONNECT_FAILED, 5, null);
        assertEquals(2, r.attemptCount(t));
    }

    @Test
    void atMostOnceRetriesAfterFullThatNeverRan() {
        FakeHost r = new FakeHost(FakeHost.settings(false, FakeHost.AT_MOST_ONCE))
                .deliverList(ListKind.FULL, FakeHost.ready(6));
        int t = r.request();
        r.advance(5).endAttempt(t, 0, Status.FULL, 5, null);
        assertEquals(2, r.attemptCount(t));
    }

    // ---- order ----

    @Test
    void requestsOfOneKeyRunOneAtATimeAcrossSequentialClasses() {
        FakeHost r = strict(FakeHost.AT_MOST_ONCE_SEQUENTIAL, FakeHost.IDEMPOTENT_SEQUENTIAL, FakeHost.IDEMPOTENT);
        int first = r.request(0, 1000, 42);
        int second = r.request(1, 1000, 42);
        int third = r.request(0, 1000, 42);
        int free = r.request(2, 1000, 42);
        assertEquals(1, r.attemptCount(first));
        assertEquals(0, r.attemptCount(second) + r.attemptCount(third));
        assertEquals(1, r.attemptCount(free), "a class that is not sequential");
        r.advance(20).succeed(first, 20);
        assertEquals(1, r.attemptCount(second));
        assertEquals(0, r.attemptCount(third));
        r.advance(20).succeed(second, 20);
        assertEquals(1, r.attemptCount(third));
    }

    @Test
    void requestsOfOtherKeysOrNoKeyRunAtOnce() {
        FakeHost r = strict(FakeHost.AT_MOST_ONCE_SEQUENTIAL);
        int[] tickets = {r.request(0, 1000, 1), r.request(0, 1000, 2), r.request(), r.request()};
        for (int t : tickets) {
            assertEquals(1, r.attemptCount(t));
        }
    }

    @Test
    void keysImposeNoOrderWithoutSequentialClasses() {
        FakeHost r = strict(FakeHost.AT_MOST_ONCE);
        assertEquals(2, r.attemptCount(r.request(0, 1000, 42)) + r.attemptCount(r.request(0, 1000, 42)));
    }

    @Test
    void aKeyIsBlockedAfterAnAttemptThatMayStillRun() {
        for (Status status : new Status[] {Status.TIMEOUT, Status.RESET, Status.CANCELLED}) {
            FakeHost r = strict(FakeHost.AT_MOST_ONCE_SEQUENTIAL);
            int first = r.request(0, 900, 42);
            int second = r.request(0, 2000, 42);
            r.advance(10).endAttempt(first, 0, status, 10, null);
            assertEquals("failed", r.finalAnswers.get(first));
            int third = r.request(0, 2000, 42);
            r.advance(280);
            assertEquals(0, r.attemptCount(second) + r.attemptCount(third), status + ": the key is blocked");
        }
    }

    @Test
    void theNextOfTheKeyRunsAfterTheGap() {
        FakeHost r = strict(FakeHost.AT_MOST_ONCE_SEQUENTIAL);
        int first = r.request(0, 900, 42);
        r.advance(10).endAttempt(first, 0, Status.RESET, 10, null);
        r.advance(200);
        int second = r.request(0, 900, 42);
        assertEquals(0, r.attemptCount(second));
        r.advance(125);
        assertEquals(1, r.attemptCount(second));
    }

    @Test
    void theRunningRequestMayBeRetriedWithoutAGap() {
        FakeHost r = strict(FakeHost.IDEMPOTENT_SEQUENTIAL);
        int t = r.request(0, 900, 42);
        r.advance(10).endAttempt(t, 0, Status.RESET, 10, null);
        assertEquals(2, r.attemptCount(t));
    }

    @Test
    void anOpenAttemptBlocksTheKeyAfterItsClientDisconnected() {
        FakeHost r = strict(FakeHost.AT_MOST_ONCE_SEQUENTIAL);
        int first = r.request(0, 900, 42);
        int second = r.request(0, 2000, 42);
        r.policy.onClientDisconnected(r.now, first);
        r.finalAnswers.put(first, "left");
        r.advance(40);
        assertEquals(0, r.attemptCount(second));
        r.endAttempt(first, 0, Status.OK, 40, null);
        assertEquals(1, r.attemptCount(second));
    }

    @Test
    void aRequestThatTimesOutBehindItsKeyIsRefusedAndLeavesTheQueue() {
        FakeHost r = strict(FakeHost.AT_MOST_ONCE_SEQUENTIAL);
        int first = r.request(0, 2000, 42);
        int hasty = r.request(0, 90, 42);
        int third = r.request(0, 2000, 42);
        r.advance(90);
        assertEquals("refused", r.finalAnswers.get(hasty));
        r.succeed(first, 90);
        assertEquals(0, r.attemptCount(hasty));
        assertEquals(1, r.attemptCount(third));
    }

    @Test
    void idleKeysAreRemoved() throws ReflectiveOperationException {
        FakeHost r = strict(FakeHost.AT_MOST_ONCE_SEQUENTIAL);
        for (int key = 1; key <= 500; key++) {
            int t = r.request(0, 900, key);
            if (r.attemptCount(t) > 0) {
                r.advance(5).endAttempt(t, 0, key % 2 == 0 ? Status.OK : Status.RESET, 5, null);
            }
        }
        r.advance(400).request(0, 900, 1);
        var keyQueues = Policy.class.getDeclaredField("keyQueues");
        keyQueues.setAccessible(true);
        int size = ((java.util.Map<?, ?>) keyQueues.get(r.policy)).size();
        assertTrue(size <= 60, size + " keys kept");
    }
}
