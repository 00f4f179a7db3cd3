package gullspar.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.decide.Balancer.ListKind;
import gullspar.decide.Balancer.Profile;
import gullspar.decide.Balancer.State;
import gullspar.decide.Balancer.Status;
import org.junit.jupiter.api.Test;

/** The rules that hold at some deployments only: order by key, and 'full' as no proof. */
class OrderTest {
    private static Rig strict(Profile... profiles) {
        return new Rig(Rig.strict(profiles)).list(ListKind.FULL, Rig.ready(6));
    }

    // ---- 'full' is no proof ----

    @Test
    void whereFullIsNoProofAnAtMostOnceRequestIsFailedAfterIt() {
        Rig r = strict(Rig.ONCE);
        int t = r.request();
        r.pass(5).done(t, 0, Status.FULL, 5, null);
        assertEquals(1, r.attempts(t));
        assertEquals("failed", r.answers.get(t));
    }

    @Test
    void whereFullIsNoProofAKeyedRequestStaysInItsGroupAfterIt() {
        Rig r = new Rig(Rig.strict(Rig.KEYED_ZONE))
                .list(
                        ListKind.FULL,
                        Rig.member(1, 0, State.READY),
                        Rig.member(2, 1, State.READY),
                        Rig.member(3, 1, State.READY));
        int t = r.request();
        assertEquals(1, r.server(t, 0));
        r.pass(5).done(t, 0, Status.FULL, 5, null);
        assertEquals(1, r.attempts(t), "no other server of its zone");
        assertEquals("failed", r.answers.get(t));
    }

    @Test
    void whereFullIsNoProofAConnectionNeverMadeStillIs() {
        Rig r = strict(Rig.ONCE);
        int t = r.request();
        r.pass(5).done(t, 0, Status.CONNECT_FAILED, 5, null);
        assertEquals(2, r.attempts(t));
    }

    @Test
    void whereFullIsProofAnAtMostOnceRequestGoesElsewhereAfterIt() {
        Rig r = new Rig(Rig.settings(false, Rig.ONCE)).list(ListKind.FULL, Rig.ready(6));
        int t = r.request();
        r.pass(5).done(t, 0, Status.FULL, 5, null);
        assertEquals(2, r.attempts(t));
    }

    // ---- order ----

    @Test
    void requestsOfOneKeyRunOneAtATimeAcrossSequentialClasses() {
        Rig r = strict(Rig.ONCE_IN_TURN, Rig.SAFE_IN_TURN, Rig.SAFE);
        int first = r.request(0, 1000, 42);
        int second = r.request(1, 1000, 42);
        int third = r.request(0, 1000, 42);
        int free = r.request(2, 1000, 42);
        assertEquals(1, r.attempts(first));
        assertEquals(0, r.attempts(second) + r.attempts(third));
        assertEquals(1, r.attempts(free), "a class that is not sequential");
        r.pass(20).ok(first, 20);
        assertEquals(1, r.attempts(second));
        assertEquals(0, r.attempts(third));
        r.pass(20).ok(second, 20);
        assertEquals(1, r.attempts(third));
    }

    @Test
    void otherKeysAndNoKeyRunAtOnce() {
        Rig r = strict(Rig.ONCE_IN_TURN);
        int[] tickets = {r.request(0, 1000, 1), r.request(0, 1000, 2), r.request(), r.request()};
        for (int t : tickets) {
            assertEquals(1, r.attempts(t));
        }
    }

    @Test
    void whereNoClassIsSequentialKeysBindNothing() {
        Rig r = strict(Rig.ONCE);
        assertEquals(2, r.attempts(r.request(0, 1000, 42)) + r.attempts(r.request(0, 1000, 42)));
    }

    @Test
    void aKeyRestsAfterAnAttemptThatMayStillRun() {
        for (Status status : new Status[] {Status.TIMEOUT, Status.RESET, Status.CANCELLED}) {
            Rig r = strict(Rig.ONCE_IN_TURN);
            int first = r.request(0, 900, 42);
            int second = r.request(0, 2000, 42);
            r.pass(10).done(first, 0, status, 10, null);
            assertEquals("failed", r.answers.get(first));
            int third = r.request(0, 2000, 42);
            r.pass(280);
            assertEquals(0, r.attempts(second) + r.attempts(third), status + ": the key rests");
        }
    }

    @Test
    void afterTheRestTheNextOfTheKeyRuns() {
        Rig r = strict(Rig.ONCE_IN_TURN);
        int first = r.request(0, 900, 42);
        r.pass(10).done(first, 0, Status.RESET, 10, null);
        r.pass(200);
        int second = r.request(0, 900, 42);
        assertEquals(0, r.attempts(second));
        r.pass(125);
        assertEquals(1, r.attempts(second));
    }

    @Test
    void theRequestThatHasTheTurnMayBeTriedAgainWithoutARest() {
        Rig r = strict(Rig.SAFE_IN_TURN);
        int t = r.request(0, 900, 42);
        r.pass(10).done(t, 0, Status.RESET, 10, null);
        assertEquals(2, r.attempts(t));
    }

    @Test
    void anAttemptStillOutAfterTheClientLeftHoldsTheKey() {
        Rig r = strict(Rig.ONCE_IN_TURN);
        int first = r.request(0, 900, 42);
        int second = r.request(0, 2000, 42);
        r.rules.onClientDisconnected(r.now, first);
        r.answers.put(first, "left");
        r.pass(40);
        assertEquals(0, r.attempts(second));
        r.done(first, 0, Status.OK, 40, null);
        assertEquals(1, r.attempts(second));
    }

    @Test
    void aRequestThatCannotMakeItBehindItsKeyIsAnsweredInTimeAndLosesItsPlace() {
        Rig r = strict(Rig.ONCE_IN_TURN);
        int first = r.request(0, 2000, 42);
        int hasty = r.request(0, 90, 42);
        int third = r.request(0, 2000, 42);
        r.pass(90);
        assertEquals("refused", r.answers.get(hasty));
        r.ok(first, 90);
        assertEquals(0, r.attempts(hasty));
        assertEquals(1, r.attempts(third));
    }

    @Test
    void keysThatRestedAreForgotten() throws ReflectiveOperationException {
        Rig r = strict(Rig.ONCE_IN_TURN);
        for (int key = 1; key <= 500; key++) {
            int t = r.request(0, 900, key);
            if (r.attempts(t) > 0) {
                r.pass(5).done(t, 0, key % 2 == 0 ? Status.OK : Status.RESET, 5, null);
            }
        }
        r.pass(400).request(0, 900, 1);
        var turns = Policy.class.getDeclaredField("keyQueues");
        turns.setAccessible(true);
        int size = ((java.util.Map<?, ?>) turns.get(r.rules)).size();
        assertTrue(size <= 60, size + " keys kept");
    }
}
