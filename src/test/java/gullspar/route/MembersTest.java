package gullspar.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.route.Members.Declared;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Who of a pool is listed. */
class MembersTest {
    private static Declared server(String name, double weight, boolean backup) {
        return new Declared(name, weight, backup, false, 2, 100, 0);
    }

    private static List<String> names(Members m, long now) {
        return m.listed(now).stream().map(l -> l.server().name()).toList();
    }

    private final Members pool = new Members(List.of(
            server("a", 3, false),
            server("b", 1, false),
            server("spare", 1, true),
            new Declared("down", 1, false, true, 1, 1, 0)));

    @Test
    void primariesWithTheirWeightsAndNobodyThatIsDown() {
        assertEquals(List.of("a", "b"), names(pool, 0));
        assertEquals(3, pool.listed(0).get(0).weight());
    }

    @Test
    void soManyFailuresInSuchATimePutAServerOutForSoLong() {
        assertFalse(pool.failed("a", 0));
        assertFalse(pool.failed("a", 101), "the first no longer counts");
        assertTrue(pool.failed("a", 150));
        assertEquals(List.of("b"), names(pool, 249));
        assertEquals(250, pool.changesAt(200));
        assertEquals(List.of("a", "b"), names(pool, 250));
        assertEquals(Long.MAX_VALUE, pool.changesAt(250));
    }

    @Test
    void anAnswerClearsWhatFailedBefore() {
        pool.failed("a", 0);
        pool.answered("a");
        assertFalse(pool.failed("a", 1));
        assertEquals(List.of("a", "b"), names(pool, 2));
    }

    @Test
    void backupsWhereNoPrimaryIsLeftAndAllPrimariesWhereThereIsNobody() {
        for (String name : List.of("a", "b")) {
            pool.failed(name, 0);
            pool.failed(name, 0);
        }
        assertEquals(List.of("spare"), names(pool, 1));
        pool.failed("spare", 2);
        assertTrue(pool.failed("spare", 2));
        assertEquals(List.of("a", "b"), names(pool, 3));
        assertEquals(List.of("a", "b"), names(pool, 100), "they are back");
    }

    @Test
    void aServerAloneIsNeverOut() {
        Members one = new Members(List.of(server("a", 1, false)));
        for (int i = 0; i < 10; i++) {
            assertFalse(one.failed("a", i));
        }
        assertEquals(List.of("a"), names(one, 10));
    }

    @Test
    void noLimitNoFailures() {
        Members m = new Members(List.of(new Declared("a", 1, false, false, 0, 100, 0), server("b", 1, false)));
        assertFalse(m.failed("a", 0));
        assertFalse(m.failed("a", 0));
        assertFalse(m.failed("nobody", 0));
        assertEquals(List.of("a", "b"), names(m, 0));
    }

    @Test
    void theWeightRisesAfterAServerWasOut() {
        Members m = new Members(List.of(new Declared("a", 10, false, false, 1, 100, 1000), server("b", 1, false)));
        assertEquals(10, m.listed(0).get(0).weight(), "it has not been out");
        m.failed("a", 0);
        assertEquals(0.1, m.listed(100).get(0).weight(), 1e-9);
        assertEquals(5, m.listed(600).get(0).weight(), 1e-9);
        assertEquals(10, m.listed(1100).get(0).weight());
    }

    @Test
    void whileAWeightRisesTimeAloneChangesTheList() {
        Members m = new Members(
                List.of(new Declared("a", 10, false, false, 1, 100, 10_000_000_000L), server("b", 1, false)));
        m.failed("a", 0);
        m.listed(100);
        assertEquals(100 + 200_000_000L, m.changesAt(100));
        assertEquals(Long.MAX_VALUE, m.changesAt(10_000_000_100L));
    }

    @Test
    void whoIsAtItsLimitOfConnectionsIsLeftOutAndWaitedFor() {
        assertTrue(pool.full("a", true));
        assertFalse(pool.full("a", true), "nothing new");
        assertEquals(List.of("b"), names(pool, 0));
        pool.full("b", true);
        assertEquals(List.of("spare"), names(pool, 0));
        pool.full("spare", true);
        assertEquals(List.of(), names(pool, 0), "a place will be free again");
        assertTrue(pool.full("b", false));
        assertEquals(List.of("b"), names(pool, 0));
        assertFalse(pool.full("nobody", true));
    }

    @Test
    void serversDeclaredAsBeforeKeepWhatIsKnownOfThem() {
        pool.failed("a", 0);
        pool.failed("a", 0);
        pool.declare(List.of(server("a", 3, false), server("c", 1, false)));
        assertEquals(List.of("c"), names(pool, 1));
        pool.declare(List.of(server("a", 4, false), server("c", 1, false)));
        assertEquals(List.of("a", "c"), names(pool, 1), "another weight is another server");
    }

    @Test
    void figuresThatCannotBeAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> server("a", 0, false));
        assertThrows(IllegalArgumentException.class, () -> new Declared("a", 1, false, false, -1, 0, 0));
    }
}
