package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How many requests of one connection the event loop processes before it reads other connections again. */
class PipelinedTurnsTest extends LoopbackTest {
    private static final int MODULE_REQUESTS = 40;

    /**
     * Requests that are rejected at once were all processed in one turn, hundreds from each of many clients, and the
     * requests of others got late responses.
     */
    @ParameterizedTest(name = "each preceded by {0} requests that the proxy itself rejects")
    @ValueSource(ints = {0, 12})
    void oneQueuedRequestOfConnectionIsProcessedInOneTurn(int invalidBetween) throws Exception {
        List<Long> turns = new CopyOnWriteArrayList<>();
        setup.onRequest = r -> {
            turns.add(setup.serving.statistics().turns());
            setup.actions.refuse(r.ticket(), 0);
        };
        String invalid = "GET /no-class HTTP/1.1\r\nHost: api\r\n\r\n".repeat(invalidBetween);
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < MODULE_REQUESTS; i++) {
            requests.append(invalid).append(Setup.getRequest());
        }
        try (Peer.Wire client = setup.client()) {
            client.write(requests.toString());
            for (int i = 0; i < MODULE_REQUESTS * (invalidBetween + 1); i++) {
                assertTrue(client.read().startsWith("HTTP/1.1 "), "response " + i);
            }
        }
        assertEquals(MODULE_REQUESTS, turns.size());
        for (int i = 1; i < turns.size(); i++) {
            long turnsBetween = turns.get(i) - turns.get(i - 1);
            assertTrue(turnsBetween > invalidBetween, "request " + i + " after " + turnsBetween + " turns");
        }
    }
}
