package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import gullspar.decide.Policy;
import gullspar.proxy.config.Config;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Synthetic requests that a proxy serves before it accepts clients. */
@Timeout(60)
class WarmupTest {
    @Test
    void servesRequestsWithoutOutsideConnections() throws Exception {
        try (Peer discovery = new Peer();
                Peer backend = new Peer();
                Peer listen = new Peer()) {
            String json = Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000)
                    .toString()
                    .replace("127.0.0.1:0", listen.hostPort()); // in use, so the warm-up must not bind it
            Config config = Config.parse(new ObjectMapper().readTree(json), Map.of());
            int served = Warmup.run(config, Policy::new, 60, 30_000);
            assertTrue(served > 0 && served <= 60, "served " + served);
            assertTrue(discovery.hasNoNewConnection() && backend.hasNoNewConnection() && listen.hasNoNewConnection());
        }
    }
}
