package gullspar.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import gullspar.proxy.config.Config;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A proxy that is told to end, up to the moment in which its process does. */
@Timeout(60)
class DrainTest {
    private Peer discovery;
    private Peer backend;
    private Setup setup;

    @BeforeEach
    void start() throws Exception {
        discovery = new Peer();
        backend = new Peer();
        setup = new Setup()
                .start(Config.parse(Setup.json(discovery.hostPort(), backend.hostPort(), 1024, 5000), Map.of()));
    }

    @AfterEach
    void end() throws Exception {
        setup.close();
        discovery.close();
        backend.close();
    }

    @Test
    void aRequestWhoseDeadlineIsBehindTheKillIsAnsweredBeforeIt() throws Exception {
        int server = setup.backend();
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.get("Request-Timeout: 30\r\n"));
            int ticket = setup.request().ticket();
            setup.act(() -> setup.actions.send(ticket, server, 0));
            backend.accept().read(); // and never answers
            CompletableFuture<String> atTheEnd = new CompletableFuture<>();
            setup.onLog = line -> {
                if (line.equals("drained")) {
                    atTheEnd.complete(setup.proxy.statusJson());
                }
            };
            setup.proxy.drain();
            String answer = client.read();
            assertTrue(answer.startsWith("HTTP/1.1 504"), "'" + answer + "'");
            String figures = atTheEnd.get(20, TimeUnit.SECONDS);
            assertTrue(figures.contains("\"pending\":0,"), () -> "the process might have ended before: " + figures);
        }
    }
}
