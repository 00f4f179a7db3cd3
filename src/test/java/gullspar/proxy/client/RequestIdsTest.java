package gullspar.proxy.client;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The memory of request ids. */
class RequestIdsTest {
    private final RequestIds ids = new RequestIds();

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
        ids.age();
        assertFalse(ids.open("a"));
        ids.age();
        assertTrue(ids.open("a"));
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
