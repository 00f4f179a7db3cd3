package gullspar.proxy.client;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The memory of request ids. */
class RequestIdsTest {
    private final RequestIds ids = new RequestIds(0);

    private void openAndClose(String id) {
        assertTrue(ids.open(id));
        ids.close(id);
    }

    @Test
    void openAndClosedIdsAreRejected() {
        assertTrue(ids.open("a"));
        assertFalse(ids.open("a"));
        ids.close("a");
        assertFalse(ids.open("a"));
        ids.age(RequestIds.RETENTION_NS);
        assertFalse(ids.open("a"));
        ids.age(2 * RequestIds.RETENTION_NS);
        assertTrue(ids.open("a"));
    }

    /** An id was forgotten after 4 to 8 s: it ran again when it came back after its client had left. */
    @Test
    void idIsRememberedForAMinute() {
        openAndClose("a");
        for (long nowNs = 0; nowNs < 60_000_000_000L; nowNs += 4_000_000_000L) {
            ids.age(nowNs);
        }
        assertFalse(ids.open("a"));
    }

    /** A client that sent requests with ever new ids at full speed made memory grow without a limit. */
    @Test
    void everNewIdsAreBoundedAndTheLatestAreRemembered() {
        for (int i = 0; i < 20 * RequestIds.MAX_RECENT; i++) {
            openAndClose("flood-" + i);
        }
        assertTrue(ids.recentCount() <= 2 * RequestIds.MAX_RECENT, () -> "remembered: " + ids.recentCount());
        openAndClose("usual");
        for (int i = 0; i < RequestIds.MAX_RECENT; i++) {
            openAndClose("again-" + i);
        }
        assertFalse(ids.open("usual"));
    }
}
