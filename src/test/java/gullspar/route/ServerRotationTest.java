package gullspar.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.route.ServerRotation.ServerSpec;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Selecting the servers of a pool that are listed to its decision module. */
class ServerRotationTest {
    /** A server that is ejected for 100 ns after two failures within 100 ns. */
    private static ServerSpec server(String name, double weight, boolean backup) {
        return new ServerSpec(name, weight, backup, false, 2, 100, 0);
    }

    private static List<String> names(ServerRotation rotation, long now) {
        return rotation.listedServers(now).stream().map(l -> l.server().name()).toList();
    }

    private final ServerRotation pool = new ServerRotation(List.of(
            server("a", 3, false),
            server("b", 1, false),
            server("spare", 1, true),
            new ServerSpec("down", 1, false, true, 1, 1, 0)));

    @Test
    void listsPrimariesWithTheirWeightsAndNoServerThatIsDown() {
        assertEquals(List.of("a", "b"), names(pool, 0));
        assertEquals(3, pool.listedServers(0).get(0).weight());
    }

    @Test
    void ejectsAServerAfterMaxFailuresWithinTheWindow() {
        assertFalse(pool.onFailure("a", 0));
        assertFalse(pool.onFailure("a", 101), "the first failure is outside the window");
        assertTrue(pool.onFailure("a", 150));
        assertEquals(List.of("b"), names(pool, 249));
        assertEquals(250, pool.nextChangeAtNs(200));
        assertEquals(List.of("a", "b"), names(pool, 250));
        assertEquals(Long.MAX_VALUE, pool.nextChangeAtNs(250));
    }

    @Test
    void aResponseResetsTheFailureCount() {
        pool.onFailure("a", 0);
        pool.onResponse("a");
        assertFalse(pool.onFailure("a", 1));
        assertEquals(List.of("a", "b"), names(pool, 2));
    }

    @Test
    void listsBackupsWithoutPrimariesAndAllPrimariesIfAllAreEjected() {
        for (String name : List.of("a", "b")) {
            pool.onFailure(name, 0);
            pool.onFailure(name, 0);
        }
        assertEquals(List.of("spare"), names(pool, 1));
        pool.onFailure("spare", 2);
        assertTrue(pool.onFailure("spare", 2));
        assertEquals(List.of("a", "b"), names(pool, 3));
        assertEquals(List.of("a", "b"), names(pool, 100), "the ejection has ended");
    }

    @Test
    void neverEjectsTheOnlyServer() {
        ServerRotation rotation = new ServerRotation(List.of(server("a", 1, false)));
        for (int i = 0; i < 10; i++) {
            assertFalse(rotation.onFailure("a", i));
        }
        assertEquals(List.of("a"), names(rotation, 10));
    }

    @Test
    void zeroMaxFailuresDisablesEjection() {
        ServerRotation rotation =
                new ServerRotation(List.of(new ServerSpec("a", 1, false, false, 0, 100, 0), server("b", 1, false)));
        assertFalse(rotation.onFailure("a", 0));
        assertFalse(rotation.onFailure("a", 0));
        assertFalse(rotation.onFailure("unknown", 0));
        assertEquals(List.of("a", "b"), names(rotation, 0));
    }

    @Test
    void slowStartRaisesTheWeightAfterAnEjection() {
        ServerRotation rotation =
                new ServerRotation(List.of(new ServerSpec("a", 10, false, false, 1, 100, 1000), server("b", 1, false)));
        assertEquals(10, rotation.listedServers(0).get(0).weight(), "it has not been ejected");
        rotation.onFailure("a", 0);
        assertEquals(0.1, rotation.listedServers(100).get(0).weight(), 1e-9);
        assertEquals(5, rotation.listedServers(600).get(0).weight(), 1e-9);
        assertEquals(10, rotation.listedServers(1100).get(0).weight());
    }

    @Test
    void slowStartSchedulesFurtherListChanges() {
        ServerRotation rotation = new ServerRotation(
                List.of(new ServerSpec("a", 10, false, false, 1, 100, 10_000_000_000L), server("b", 1, false)));
        rotation.onFailure("a", 0);
        rotation.listedServers(100);
        assertEquals(100 + 200_000_000L, rotation.nextChangeAtNs(100));
        assertEquals(Long.MAX_VALUE, rotation.nextChangeAtNs(10_000_000_100L));
    }

    @Test
    void omitsFullServersWithoutListingEjectedOnes() {
        assertTrue(pool.setFull("a", true));
        assertFalse(pool.setFull("a", true), "no change");
        assertEquals(List.of("b"), names(pool, 0));
        pool.setFull("b", true);
        assertEquals(List.of("spare"), names(pool, 0));
        pool.setFull("spare", true);
        assertEquals(List.of(), names(pool, 0), "requests wait for a connection");
        assertTrue(pool.setFull("b", false));
        assertEquals(List.of("b"), names(pool, 0));
        assertFalse(pool.setFull("unknown", true));
    }

    @Test
    void unchangedServersKeepTheirState() {
        pool.onFailure("a", 0);
        pool.onFailure("a", 0);
        pool.reconfigure(List.of(server("a", 3, false), server("c", 1, false)));
        assertEquals(List.of("c"), names(pool, 1));
        pool.reconfigure(List.of(server("a", 4, false), server("c", 1, false)));
        assertEquals(List.of("a", "c"), names(pool, 1), "a server with another weight starts without state");
    }

    @Test
    void rejectsInvalidSettings() {
        assertThrows(IllegalArgumentException.class, () -> server("a", 0, false));
        assertThrows(IllegalArgumentException.class, () -> new ServerSpec("a", 1, false, false, -1, 0, 0));
    }
}
