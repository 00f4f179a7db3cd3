package gullspar.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.proxy.Peer.Wire;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How many requests of one connection the event loop processes before it reads other connections again. */
@Timeout(60)
class PipelinedTurnsTest {
    private static final int REQUESTS = 300;
    /** The first request of a read is processed with the read, and the next one in the tasks of that turn. */
    private static final int MAX_REQUESTS_PER_TURN = 2;

    /** All requests of a read whose responses need no backend were answered in one turn. */
    @Test
    void requestsAnsweredWithoutBackendAreSpreadOverTurns() throws Exception {
        try (ProxyFixture s = new ProxyFixture(ProxyFixture.LISTENER
                        + "[[host]]\ndefault = true\n[[host.route]]\npath = \"/\"\nanswer = {status = 204}\n");
                Wire c = s.connect()) {
            long before = turns(s);
            c.write(ProxyFixture.GET.repeat(REQUESTS));
            for (int i = 0; i < REQUESTS; i++) {
                assertEquals("204", ProxyFixture.status(c.read()), "response " + i);
            }
            long turns = turns(s) - before;
            assertTrue(turns >= REQUESTS / MAX_REQUESTS_PER_TURN, REQUESTS + " requests in " + turns + " turns");
        }
    }

    private static long turns(ProxyFixture s) throws Exception {
        return s.loop.submit(() -> s.serving.statistics().turns()).get();
    }
}
