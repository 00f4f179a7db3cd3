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

/** Drain of a proxy until its process may exit. */
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
    void close() throws Exception {
        setup.close();
        discovery.close();
        backend.close();
    }

    @Test
    void requestWithDeadlineAfterKillIsAnsweredBeforeKill() throws Exception {
        int server = setup.listedServer();
        try (Peer.Wire client = setup.client()) {
            client.write(Setup.getRequest("Request-Timeout: 30\r\n"));
            int ticket = setup.nextRequest().ticket();
            setup.runOnLoop(() -> setup.actions.send(ticket, server, 0));
            backend.accept().read(); // no response is sent
            CompletableFuture<String> statusAtDrain = new CompletableFuture<>();
            setup.onLog = line -> {
                if (line.equals("drained")) {
                    statusAtDrain.complete(setup.proxy.statusJson());
                }
            };
            setup.proxy.drain();
            String answer = client.read();
            assertTrue(answer.startsWith("HTTP/1.1 504"), "'" + answer + "'");
            String status = statusAtDrain.get(20, TimeUnit.SECONDS);
            assertTrue(
                    status.contains("\"pending\":0,"),
                    () -> "a request was pending when the process could exit: " + status);
        }
    }
}
